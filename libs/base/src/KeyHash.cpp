#include <base/KeyHash.h>

#include <xxhash.h>

namespace sycamore::base {

std::uint64_t hashBytes(std::string_view bytes)
{
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

ShardId shardOfKey(const Key& key, std::uint32_t shardCount)
{
  return ShardId(static_cast<std::uint32_t>(hashBytes(key.value()) % shardCount));
}

} // namespace sycamore::base

#include "ShardRanges.h"

#include <base/Error.h>

#include <charconv>
#include <sstream>

namespace sycamore::backend_stub {

namespace {

// Far above the number of shards in any map, so a larger index is malformed.
constexpr std::uint32_t kMaxIndex = 10'000'000;

std::uint32_t parseIndex(const std::string& text)
{
  std::uint32_t index = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), index);
  if (error != std::errc() || end != text.data() + text.size() || index > kMaxIndex) {
    throw base::Error("malformed shard index \"" + text + "\"");
  }
  return index;
}

} // namespace

std::set<std::uint32_t> parseShardRanges(const std::string& text)
{
  std::set<std::uint32_t> shards;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    const std::size_t dash = part.find('-');
    const std::uint32_t first = parseIndex(part.substr(0, dash));
    const std::uint32_t last =
      dash == std::string::npos ? first : parseIndex(part.substr(dash + 1));
    for (std::uint32_t shard = first; shard <= last; ++shard) {
      shards.insert(shard);
    }
  }
  return shards;
}

} // namespace sycamore::backend_stub

#pragma once

#include <base/Ids.h>

#include <cstdint>
#include <string_view>

namespace sycamore::base {

// XXH3 hash (64 bit, seed 0) of the bytes. Stable across hosts and versions: shard maps depend
// on it.
std::uint64_t hashBytes(std::string_view bytes);

// XXH3 hash (64 bit) with a seed, for independent hash functions over the same bytes.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed);

// The shard of a key among shardCount shards; shardCount must not be 0.
ShardId shardOfKey(const Key& key, std::uint32_t shardCount);

} // namespace sycamore::base

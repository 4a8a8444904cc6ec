#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace sycamore::backend_stub {

// Reads shard indexes written as "0-15,20". Throws base::Error on malformed text.
std::set<std::uint32_t> parseShardRanges(const std::string& text);

} // namespace sycamore::backend_stub

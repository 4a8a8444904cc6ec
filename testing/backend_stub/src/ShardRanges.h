#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace sycamore::backend_stub {

// Parses shard indexes of the form "0-15,20". Throws base::Error on malformed text.
std::set<std::uint32_t> parseShardRanges(const std::string& text);

} // namespace sycamore::backend_stub

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::ctl {

// Parses a list of shards such as "1,4,10-19". Throws CtlError (Usage) for any other syntax and for
// more than 65,536 shards.
std::vector<std::uint32_t> parseShards(const std::string& text);

} // namespace sycamore::ctl

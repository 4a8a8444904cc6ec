#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::ctl {

// Reads "1,4,10-19". Throws CtlError (Usage) for other texts and for more than 65,536 shards.
std::vector<std::uint32_t> parseShards(const std::string& text);

} // namespace sycamore::ctl

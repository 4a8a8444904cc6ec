#pragma once

#include <entry/HttpText.h>

#include <cstdint>

namespace sycamore::entry {

// Returns a digest of the request's method, host, target and body, which is the same for each
// attempt of the same request.
std::uint64_t digestOf(const Request& request);

} // namespace sycamore::entry

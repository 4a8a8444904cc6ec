#pragma once

#include <base/Time.h>
#include <requests/WallTime.h>

#include <optional>
#include <string>
#include <string_view>

namespace sycamore::requests {

// Parses the delay of a Retry-After header: delta-seconds, or an HTTP date in one of the three
// forms of RFC 9110. A date in the past gives 0. Nothing for any other text.
std::optional<base::Duration> parseRetryAfter(std::string_view text, WallTime now);

// Returns the delay in delta-seconds, rounded up and at least 1, since the header cannot express a
// shorter one.
std::string formatRetryAfter(base::Duration delay);

} // namespace sycamore::requests

#pragma once

#include <base/Time.h>
#include <requests/WallTime.h>

#include <optional>
#include <string>
#include <string_view>

namespace sycamore::requests {

// The delay asked for by a Retry-After header: delta-seconds, or an HTTP date in one of the three
// forms of RFC 9110. A date in the past gives 0. Nothing for text in no such form.
std::optional<base::Duration> parseRetryAfter(std::string_view text, WallTime now);

// Delta-seconds, rounded up, at least 1: a shorter wait has no form in the header.
std::string formatRetryAfter(base::Duration delay);

} // namespace sycamore::requests

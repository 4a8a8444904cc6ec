#include <dispatch/RequestLimit.h>

#include <algorithm>
#include <cmath>

namespace sycamore::dispatch {

namespace {

// Lower limits count as this one: only an answer can show that a limit has ended, so that a limited
// server must be asked now and then.
constexpr double kMinPerSecond = 0.25;
// Higher limits count as this one, so that sums of permits stay exact.
constexpr double kMaxPerSecond = 1e6;

} // namespace

std::optional<RequestLimit> usableLimit(double perSecond)
{
  if (std::isnan(perSecond) || perSecond < 0) {
    return std::nullopt;
  }
  return RequestLimit{ std::clamp(perSecond, kMinPerSecond, kMaxPerSecond) };
}

} // namespace sycamore::dispatch

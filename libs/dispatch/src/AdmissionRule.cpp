#include <dispatch/AdmissionRule.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

base::Duration share(base::Duration duration, double part)
{
  return std::chrono::duration_cast<base::Duration>(duration * part);
}

} // namespace

AdmissionRule::AdmissionRule(AdmissionSettings settings)
  : settings_(settings)
{
}

std::optional<base::Duration> AdmissionRule::retryDelayIfRefused(base::Duration expectedLatency,
                                                                 base::Duration targetLeft,
                                                                 base::Duration timeLeft,
                                                                 double jitter) const
{
  const base::Duration bound =
    std::max(share(targetLeft, settings_.targetShare), share(timeLeft, settings_.deadlineShare));
  if (expectedLatency <= bound) {
    return std::nullopt;
  }
  return retryDelay(expectedLatency - bound, jitter);
}

base::Duration AdmissionRule::retryDelay(base::Duration excess, double jitter) const
{
  const base::Duration base = std::max(settings_.minRetryDelay, excess);
  return std::min(settings_.maxRetryDelay, base + share(base, jitter));
}

} // namespace sycamore::dispatch

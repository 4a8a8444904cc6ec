#include <requests/HedgePolicy.h>

namespace sycamore::requests {

HedgePolicy::HedgePolicy(HedgeSettings settings)
  : settings_(settings)
  , budget_({ settings.ratio, settings.burst, 0, std::chrono::seconds(10) })
{
}

void HedgePolicy::recordSuccess(base::Duration latency, base::TimePoint now)
{
  latencies_.add(latency, now);
  budget_.recordSuccess(now);
}

std::optional<base::TimePoint> HedgePolicy::hedgeAt(bool idempotent,
                                                    base::TimePoint sentAt,
                                                    base::TimePoint deadline) const
{
  const std::optional<base::Duration> wait = latencies_.quantile(settings_.quantile);
  if (!idempotent || !wait || sentAt + *wait >= deadline) {
    return std::nullopt;
  }
  return sentAt + *wait;
}

bool HedgePolicy::tryHedge(base::TimePoint now)
{
  return budget_.tryWithdraw(now);
}

} // namespace sycamore::requests

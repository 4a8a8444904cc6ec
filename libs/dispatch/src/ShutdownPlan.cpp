#include <dispatch/ShutdownPlan.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Time for which new connections are accepted: the platform needs some seconds to direct them to
// other entry VMs. With a short grace period it ends earlier, so that requests can be answered.
constexpr base::Duration kAcceptDuration = base::milliseconds(3200);
// Time for which a request is sent to a server if its answer is only expected in time. A later one
// must be sure to get its answer. At most half of the grace period, so that work which takes longer
// than expected still has that much time.
constexpr base::Duration kEstimatesCountDuration = base::milliseconds(3000);
// Factor by which work may take longer than expected.
constexpr int kLatencyFactor = 2;
// Time before the kill at which the last answers are given and at which the process ends. The time
// between the two is for writing the answers. Both shrink with a short grace period.
constexpr base::Duration kLastAnswerMargin = base::milliseconds(400);
constexpr base::Duration kEndMargin = base::milliseconds(150);
constexpr int kMinGraceForMargin = 10;

base::Duration marginWithin(base::Duration gracePeriod, base::Duration margin)
{
  return std::min(margin, gracePeriod / kMinGraceForMargin);
}

} // namespace

ShutdownPlan::ShutdownPlan(base::TimePoint startedAt, base::Duration gracePeriod)
  : acceptsUntil_(startedAt + std::min(kAcceptDuration, gracePeriod * 3 / 5))
  , estimatesCountUntil_(startedAt + std::min(kEstimatesCountDuration, gracePeriod / 2))
  , lastAnswerAt_(startedAt + gracePeriod - marginWithin(gracePeriod, kLastAnswerMargin))
  , endsAt_(startedAt + gracePeriod - marginWithin(gracePeriod, kEndMargin))
{
}

bool ShutdownPlan::maySend(base::TimePoint now,
                           base::TimePoint answerDeadline,
                           base::Duration expectedLatency) const
{
  if (answerDeadline <= lastAnswerAt_) {
    return true;
  }
  return now < estimatesCountUntil_ && now + kLatencyFactor * expectedLatency <= lastAnswerAt_;
}

} // namespace sycamore::dispatch

#pragma once

#include <base/Time.h>

namespace sycamore::dispatch {

// Decides what an entry VM that has been told to stop can still promise to callers. The platform
// kills the process at the end of a grace period, so that an answer which comes later is lost.
class ShutdownPlan
{
public:
  // `startedAt` is the time of the order to stop, `gracePeriod` the time from it until the process
  // is killed.
  ShutdownPlan(base::TimePoint startedAt, base::Duration gracePeriod);

  // Returns the time until which new connections are accepted.
  base::TimePoint acceptsUntil() const { return acceptsUntil_; }
  // Returns the time at which every request that is still in progress gets its final answer.
  base::TimePoint lastAnswerAt() const { return lastAnswerAt_; }
  // Returns the time at which the process ends, also if answers haven't been written completely.
  base::TimePoint endsAt() const { return endsAt_; }

  // Returns whether a request may be sent to a server. `answerDeadline` is the time by which the
  // caller gets an answer in any case, `expectedLatency` the time that the server probably needs. A
  // request that the process may not live to answer is better refused: it hasn't run, and another
  // entry VM can take it.
  bool maySend(base::TimePoint now,
               base::TimePoint answerDeadline,
               base::Duration expectedLatency) const;

private:
  base::TimePoint acceptsUntil_;
  base::TimePoint estimatesCountUntil_;
  base::TimePoint lastAnswerAt_;
  base::TimePoint endsAt_;
};

} // namespace sycamore::dispatch

#pragma once

#include <base/Ids.h>
#include <ownership/GrantReply.h>
#include <ownership/LeaseTimings.h>

#include <optional>

namespace sycamore::ownership {

// Tracks, for a lease holder, the newest server timestamp to echo, and the time by which all grants
// of its own term and of previous terms have expired at the server.
class GrantExpiryTracker
{
public:
  // previousExpireAt: time by which the grants of previous terms have certainly expired.
  void reset(base::TimePoint previousExpireAt);

  // Stores the reply's timestamp if it is newer. Returns whether it was newer.
  bool onReply(const GrantReply& reply, base::TimePoint now);
  // Call this when a grant with the newest echo is about to be sent.
  void onSend(const LeaseTimings& timings);

  std::optional<base::TimePoint> echo() const { return echo_; }
  base::Incarnation incarnation() const { return incarnation_; }
  base::TimePoint allExpireAt() const { return expireAt_; }

private:
  std::optional<base::TimePoint> echo_;
  base::Incarnation incarnation_;
  base::TimePoint echoReceivedAt_;
  base::TimePoint expireAt_;
};

} // namespace sycamore::ownership

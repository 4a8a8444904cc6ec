#pragma once

#include <base/Ids.h>
#include <ownership/GrantReply.h>
#include <ownership/LeaseTimings.h>

#include <optional>

namespace sycamore::ownership {

// What a holder knows of its grants in time: the newest echo, and when all grants of its own and of
// earlier terms have expired at the server.
class GrantExpiryTracker
{
public:
  // earlierExpire: when the grants of earlier terms have surely expired.
  void reset(base::TimePoint earlierExpire);

  // Keeps the reply's timestamp if it is newer. Returns whether it was.
  bool onReply(const GrantReply& reply, base::TimePoint now);
  // A grant with the newest echo is about to be sent.
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

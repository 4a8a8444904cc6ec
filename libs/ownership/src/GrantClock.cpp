#include <ownership/GrantClock.h>

#include <algorithm>

namespace sycamore::ownership {

void GrantClock::reset(base::TimePoint earlierExpire)
{
  *this = GrantClock();
  expireAt_ = earlierExpire;
}

bool GrantClock::onReply(const GrantReply& reply, base::TimePoint now)
{
  if (echo_ && reply.incarnation == incarnation_ && reply.serverTime <= *echo_) {
    return false;
  }
  echo_ = reply.serverTime;
  incarnation_ = reply.incarnation;
  echoReceivedAt_ = now;
  return true;
}

void GrantClock::onSend(const LeaseTimings& timings)
{
  if (echo_) {
    // The server took the timestamp before it was received here.
    expireAt_ = std::max(expireAt_, echoReceivedAt_ + timings.waitFor(timings.grantLifetime()));
  }
}

} // namespace sycamore::ownership

#include <ownership/GrantExpiryTracker.h>

#include <algorithm>

namespace sycamore::ownership {

void GrantExpiryTracker::reset(base::TimePoint previousExpireAt)
{
  *this = GrantExpiryTracker();
  expireAt_ = previousExpireAt;
}

bool GrantExpiryTracker::onReply(const GrantReply& reply, base::TimePoint now)
{
  if (echo_ && reply.incarnation == incarnation_ && reply.serverTime <= *echo_) {
    return false;
  }
  echo_ = reply.serverTime;
  incarnation_ = reply.incarnation;
  echoReceivedAt_ = now;
  return true;
}

void GrantExpiryTracker::onSend(const LeaseTimings& timings)
{
  if (echo_) {
    // The server read its clock before the reply was received here, so its grant expires no later.
    expireAt_ =
      std::max(expireAt_, echoReceivedAt_ + timings.driftSafeWait(timings.grantLifetime()));
  }
}

} // namespace sycamore::ownership

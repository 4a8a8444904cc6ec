#include <dispatch/CoordinatorElection.h>

#include <algorithm>

namespace sycamore::dispatch {

CoordinatorElection::CoordinatorElection(ElectionSettings settings, base::TimePoint now)
  : settings_(settings)
  , lastHeartbeatAt_(now)
  , lastStoreContactAt_(now)
{
}

void CoordinatorElection::onRecordRead(const OwnershipRecord& record, base::TimePoint now)
{
  if (record.epoch <= epoch_) {
    return;
  }
  // Gives a new coordinator time for its first heartbeat.
  epoch_ = record.epoch;
  lastHeartbeatAt_ = now;
  lastStoreContactAt_ = now;
  hasLostStore_ = false;
  leaving_ = false;
}

void CoordinatorElection::onHeartbeat(const CoordinatorHeartbeat& heartbeat, base::TimePoint now)
{
  if (heartbeat.epoch < epoch_) {
    return;
  }
  epoch_ = heartbeat.epoch;
  lastHeartbeatAt_ = now;
  leaving_ = heartbeat.leaving;
  hasLostStore_ = !heartbeat.storeReachable;
  if (heartbeat.storeReachable) {
    lastStoreContactAt_ = now;
  }
}

bool CoordinatorElection::shouldTryTakeover(unsigned rank, bool storeReachable, base::TimePoint now)
{
  if (!storeReachable || now < nextTryAt_) {
    return false;
  }
  const base::Duration wait = settings_.rankDelay * rank;
  const bool heartbeatMissed = now >= lastHeartbeatAt_ + settings_.heartbeatTimeout + wait;
  const bool storeLost =
    hasLostStore_ && now >= lastStoreContactAt_ + settings_.storeTimeout + wait;
  const bool leaving = leaving_ && now >= lastHeartbeatAt_ + wait;
  if (!heartbeatMissed && !storeLost && !leaving) {
    return false;
  }
  nextTryAt_ = now + settings_.retryInterval;
  return true;
}

} // namespace sycamore::dispatch

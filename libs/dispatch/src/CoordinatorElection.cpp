#include <dispatch/CoordinatorElection.h>

#include <algorithm>

namespace sycamore::dispatch {

CoordinatorElection::CoordinatorElection(ElectionSettings settings, base::TimePoint now)
  : settings_(settings)
  , lastHeartbeatAt_(now)
  , lastStoreContact_(now)
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
  lastStoreContact_ = now;
  leaving_ = false;
}

void CoordinatorElection::onHeartbeat(const CoordinatorHeartbeat& beat, base::TimePoint now)
{
  if (beat.epoch < epoch_) {
    return;
  }
  epoch_ = beat.epoch;
  lastHeartbeatAt_ = now;
  leaving_ = beat.leaving;
  if (beat.storeReachable) {
    lastStoreContact_ = now;
  }
}

bool CoordinatorElection::shouldTryTakeover(unsigned rank, bool storeReachable, base::TimePoint now)
{
  if (!storeReachable || now < nextTryAt_) {
    return false;
  }
  const base::Duration wait = settings_.rankDelay * rank;
  const bool heartbeatMissed = now >= lastHeartbeatAt_ + settings_.heartbeatTimeout + wait;
  const bool storeLost = now >= lastStoreContact_ + settings_.storeTimeout + wait;
  const bool leaving = leaving_ && now >= lastHeartbeatAt_ + wait;
  if (!heartbeatMissed && !storeLost && !leaving) {
    return false;
  }
  nextTryAt_ = now + settings_.retryInterval;
  return true;
}

} // namespace sycamore::dispatch

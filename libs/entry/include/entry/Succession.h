#pragma once

#include <entry/PeerMessage.h>

#include <base/Time.h>
#include <dispatch/CoordinatorElection.h>

#include <cstddef>

namespace sycamore::entry {

// This VM's place among the VMs that could succeed the coordinator, and when it should do so.
// Control thread only.
class Succession
{
public:
  explicit Succession(base::TimePoint now);

  // A heartbeat of the coordinator arrived.
  void onHeartbeat(const HeartbeatMessage& message, base::TimePoint now);
  // The ownership record was read from the store.
  void onRecordRead(const dispatch::OwnershipRecord& record, base::TimePoint now)
  {
    election_.onRecordRead(record, now);
  }

  // Returns whether to try to become the coordinator now, see
  // dispatch::CoordinatorElection::shouldTryTakeover().
  bool shouldTryTakeover(bool storeReachable, base::TimePoint now)
  {
    return election_.shouldTryTakeover(rank_, storeReachable, now);
  }
  // Returns whether enough VMs before this one in the succession notice that nobody watches the
  // store. `entryVms` is the number of live entry VMs.
  bool isStandby(std::size_t entryVms) const;
  // Returns the time since the last heartbeat, or since the start of the process if there was none.
  base::Duration timeSinceHeartbeat(base::TimePoint now) const { return now - lastHeartbeatAt_; }

private:
  dispatch::CoordinatorElection election_;
  unsigned rank_ = 0;
  base::TimePoint lastHeartbeatAt_;
};

} // namespace sycamore::entry

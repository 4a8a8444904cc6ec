#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/OwnershipRecord.h>

#include <cstdint>
#include <optional>

namespace sycamore::dispatch {

struct ElectionSettings
{
  // Silence of the coordinator after which another VM takes over.
  base::Duration heartbeatTimeout = base::milliseconds(700);
  // How much longer each VM that comes later in the order waits, so that few try at once.
  base::Duration rankDelay = base::milliseconds(150);
  // How long a coordinator may be unable to reach the store before another VM takes over.
  base::Duration storeTimeout = base::milliseconds(1500);
  // Time between two tries.
  base::Duration retryInterval = base::milliseconds(1000);
};

// A coordinator's regular message to the other entry VMs.
struct CoordinatorHeartbeat
{
  Coordinator coordinator;
  std::uint64_t epoch = 0;
  // Whether its last calls to the store were answered.
  bool storeReachable = true;
  // Whether it is about to stop.
  bool leaving = false;
};

// Decides when this entry VM should try to become the coordinator. The try itself is a conditional
// write, so that a wrong decision costs a call to the store but never makes two coordinators.
class CoordinatorElection
{
public:
  CoordinatorElection(ElectionSettings settings, base::TimePoint now);

  // The record as read from the store.
  void onRecordRead(const OwnershipRecord& record, base::TimePoint now);
  void onHeartbeat(const CoordinatorHeartbeat& beat, base::TimePoint now);

  // Whether to try now. `rank` is this VM's place in the order of the live VMs, from 0;
  // `storeReachable` tells whether its own calls are answered.
  bool shouldTryTakeover(unsigned rank, bool storeReachable, base::TimePoint now);

private:
  ElectionSettings settings_;
  std::uint64_t epoch_ = 0;
  base::TimePoint lastHeartbeatAt_;
  base::TimePoint lastStoreContact_;
  bool leaving_ = false;
  base::TimePoint nextTryAt_{};
};

} // namespace sycamore::dispatch

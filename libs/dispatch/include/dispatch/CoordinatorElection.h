#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/OwnershipRecord.h>

#include <cstdint>
#include <optional>

namespace sycamore::dispatch {

struct ElectionSettings
{
  // Time without a heartbeat of the coordinator after which another VM takes over.
  base::Duration heartbeatTimeout = base::milliseconds(700);
  // Additional delay per rank in the succession order, so that few VMs try at the same time.
  base::Duration rankDelay = base::milliseconds(150);
  // Time after which another VM takes over from a coordinator that says that it doesn't reach the
  // store. Changes in the store reach most VMs only after the takeover.
  base::Duration storeTimeout = base::milliseconds(500);
  // Minimum time between two attempts of this VM.
  base::Duration retryInterval = base::milliseconds(1000);
};

// Message that the coordinator sends to the other entry VMs at regular intervals.
struct CoordinatorHeartbeat
{
  Coordinator coordinator;
  std::uint64_t epoch = 0;
  // Whether the store has answered the coordinator recently.
  bool storeReachable = true;
  // Whether the coordinator is about to stop.
  bool leaving = false;
};

// Decides when this entry VM should try to become the coordinator. The attempt itself is a
// conditional write, so a wrong decision costs one call to the store but never results in two
// coordinators.
class CoordinatorElection
{
public:
  CoordinatorElection(ElectionSettings settings, base::TimePoint now);

  // The ownership record was read from the store.
  void onRecordRead(const OwnershipRecord& record, base::TimePoint now);
  void onHeartbeat(const CoordinatorHeartbeat& heartbeat, base::TimePoint now);

  // Returns whether to try now; if so, the next attempt is due after the retry interval. `rank` is
  // this VM's position in the succession order of the live VMs, from 0; `storeReachable` states
  // whether the store answers this VM's calls.
  bool shouldTryTakeover(unsigned rank, bool storeReachable, base::TimePoint now);

private:
  ElectionSettings settings_;
  std::uint64_t epoch_ = 0;
  base::TimePoint lastHeartbeatAt_;
  base::TimePoint lastStoreContactAt_;
  // Whether the last heartbeat said that the coordinator doesn't reach the store.
  bool hasLostStore_ = false;
  bool leaving_ = false;
  base::TimePoint nextTryAt_{};
};

} // namespace sycamore::dispatch

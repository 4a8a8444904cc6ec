#pragma once

#include <entry/EventLog.h>

#include <base/Time.h>
#include <dispatch/EntryVmRecord.h>

#include <cstdint>
#include <vector>

namespace sycamore::entry {

// Decides whether this VM, as coordinator, hands its role over to a VM with more capacity. The
// first coordinator is the VM that was first to write the record, which may have less capacity than
// another. Control thread only.
class CoordinatorHandover
{
public:
  // `ownCapacity` is the number of processor cores that this process may use. `log` has to outlive
  // this object.
  CoordinatorHandover(EventLog& log, double ownCapacity);

  // This VM is the coordinator of this epoch. Returns whether the epoch has just begun.
  bool onEpoch(std::uint64_t epoch, base::TimePoint now);
  // Returns the time at which the epoch began; unset if this VM never was the coordinator.
  base::TimePoint epochBeganAt() const { return epochBeganAt_; }

  // Begins a handover if the first of the successors is worth it. `successors` are the VMs that
  // could become the coordinator, in the order of succession.
  void beginIfWorthwhile(const std::vector<dispatch::Candidate>& successors, base::TimePoint now);

  bool isHandingOver() const { return handoverEpoch_ != 0 && handoverEpoch_ == epoch_; }

private:
  EventLog& log_;
  double ownCapacity_;
  // Epoch in which this VM last was the coordinator; 0 if it never was.
  std::uint64_t epoch_ = 0;
  base::TimePoint epochBeganAt_{};
  // Epoch in which this VM, as coordinator, asked for a handover; 0 if it hasn't. A process asks
  // only once: with a successor that can't reach the store, the role would be passed on in circles.
  std::uint64_t handoverEpoch_ = 0;
};

} // namespace sycamore::entry

#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/EntryVmRecord.h>
#include <dispatch/FanoutPlan.h>

#include <cstddef>
#include <map>
#include <vector>

namespace sycamore::dispatch {

struct PeerTableSettings
{
  // Time without a report after which an entry VM is no candidate to succeed the coordinator.
  base::Duration candidateTimeout = std::chrono::seconds(4);
  // Time without a report after which an entry VM is assumed not to use its share of the
  // deployment's limits any more. It is longer than `candidateTimeout` because a VM that is only
  // cut off from the others continues to serve.
  base::Duration limitShareTimeout = std::chrono::seconds(60);
};

// The other entry VMs, as registered in the store and heard from by their reports.
class PeerTable
{
public:
  explicit PeerTable(PeerTableSettings settings)
    : settings_(settings)
  {
  }

  // A VM was found in the store. A VM that is already known keeps what its reports have shown.
  void onRegistered(const base::VmId& vm, const EntryVmRecord& record, base::TimePoint now);
  // A VM has reported. One that is leaving is neither a candidate nor a forwarder, and shares no
  // limits.
  void onReport(const base::VmId& vm,
                const EntryVmRecord& record,
                bool leaving,
                base::TimePoint now);

  // The coordinator has announced how many VMs share limits. A VM that takes over its role knows
  // fewer of them at first, since VMs report to the coordinator only.
  void onSharersAnnounced(std::size_t vms, base::TimePoint now);

  const std::map<base::VmId, FanoutPeer>& peers() const { return peers_; }
  // Returns all VMs in the form that planFanout() takes.
  std::vector<FanoutPeer> receivers() const;
  // Returns the VMs that could become the coordinator, in the order of succession.
  std::vector<Candidate> successors(base::TimePoint now) const;
  // Returns the number of entry VMs that may be sending requests to servers, including this one.
  std::size_t vmsSharingLimits(base::TimePoint now) const;
  // Returns the address of the VM that aggregates the load for its domain, for each domain of which
  // a VM has reported recently.
  std::map<base::DomainId, std::string> loadAggregators(base::TimePoint now) const;
  // Returns whether a VM is known to be in this domain.
  bool isInDomain(const base::VmId& vm, const base::DomainId& domain) const;

private:
  PeerTableSettings settings_;
  std::map<base::VmId, FanoutPeer> peers_;
  std::size_t announcedSharers_ = 0;
  base::TimePoint announcedUntil_{};
};

} // namespace sycamore::dispatch

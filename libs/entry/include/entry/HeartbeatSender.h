#pragma once

#include <entry/PeerLink.h>

#include <base/Ids.h>
#include <dispatch/PeerTable.h>
#include <dispatch/ReportEcho.h>

#include <vector>

namespace sycamore::entry {

// Sends the coordinator's heartbeats at regular intervals to all other entry VMs, and adds to each
// what concerns its receiver. Control thread only.
class HeartbeatSender
{
public:
  // The references have to outlive this object.
  HeartbeatSender(PeerLink& peerLink,
                  const dispatch::PeerTable& peerTable,
                  base::DomainId ownDomain);

  bool isDue(base::TimePoint now) const { return now >= nextHeartbeatAt_; }
  // Makes the next heartbeat due at once.
  void expedite() { nextHeartbeatAt_ = {}; }

  // A report of a VM arrived. Its stamp goes into the next heartbeats to this VM.
  void onReport(const base::VmId& vm, dispatch::ReportStamp stamp, base::TimePoint now)
  {
    reportStamps_.onReport(vm, stamp, now);
  }

  // Sends the message to all other VMs. `successors` are those that could become the coordinator,
  // in the order of succession. `configurationCurrentAt` is the time up to which the copy of the
  // configuration is shown to hold all changes; unset if it isn't to be told.
  void send(HeartbeatMessage message,
            const std::vector<dispatch::Candidate>& successors,
            base::TimePoint configurationCurrentAt,
            base::TimePoint now);

private:
  PeerLink& peerLink_;
  const dispatch::PeerTable& peerTable_;
  base::DomainId ownDomain_;
  dispatch::ReportStamps reportStamps_;
  base::TimePoint nextHeartbeatAt_{};
};

} // namespace sycamore::entry

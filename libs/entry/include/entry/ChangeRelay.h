#pragma once

#include <entry/EventLog.h>
#include <entry/ObjectChange.h>
#include <entry/PeerLink.h>

#include <base/Ids.h>
#include <dispatch/OwnershipCopy.h>
#include <dispatch/PeerTable.h>

namespace sycamore::entry {

// Sends the changes that the coordinator reads from the store or writes there to all other entry
// VMs. Control thread only.
class ChangeRelay
{
public:
  // The references have to outlive this object.
  ChangeRelay(PeerLink& peerLink,
              const dispatch::PeerTable& peerTable,
              EventLog& log,
              base::DomainId ownDomain);

  // Sends the part of a change of watched objects that other VMs need. A change that fits into no
  // messages is logged; the other VMs then read it from the store.
  void send(const ObjectChange& change);
  // Sends a change of the ownership record.
  void send(const dispatch::OwnershipDelta& delta);

private:
  void sendToAll(const PeerMessage& message);

  PeerLink& peerLink_;
  const dispatch::PeerTable& peerTable_;
  EventLog& log_;
  base::DomainId ownDomain_;
};

} // namespace sycamore::entry

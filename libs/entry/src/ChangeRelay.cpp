#include <entry/ChangeRelay.h>

#include <entry/SteadyTime.h>

#include <dispatch/FanoutPlan.h>

#include <cstddef>
#include <utility>
#include <vector>

namespace sycamore::entry {

namespace {

// Number of ranges whose change fits into the payload of an Ethernet frame.
constexpr std::size_t kRangesPerMessage = 25;

// Returns the change with servers' entries reduced to the fields that entry VMs need.
ObjectChange essentialChange(const ObjectChange& change)
{
  ObjectChange essential = change;
  if (change.kind == wire::Kind::Servers) {
    for (wire::WatchEvent& event : essential.events) {
      event.object = wire::essentialServerEntry(event.object);
    }
  }
  return essential;
}

} // namespace

ChangeRelay::ChangeRelay(PeerLink& peerLink,
                         const dispatch::PeerTable& peerTable,
                         EventLog& log,
                         base::DomainId ownDomain)
  : peerLink_(peerLink)
  , peerTable_(peerTable)
  , log_(log)
  , ownDomain_(std::move(ownDomain))
{
}

void ChangeRelay::send(const ObjectChange& change)
{
  const std::vector<ObjectChange> parts = splitChange(essentialChange(change));
  if (parts.empty() && !change.events.empty()) {
    log_.write("change_not_relayed",
               { { "kind", static_cast<int>(change.kind) },
                 { "revision", change.part.revision },
                 { "objects", change.events.size() } });
  }
  for (const ObjectChange& part : parts) {
    sendToAll(ObjectChangeMessage{ part });
  }
}

void ChangeRelay::send(const dispatch::OwnershipDelta& delta)
{
  for (const dispatch::OwnershipDelta& part : dispatch::splitDelta(delta, kRangesPerMessage)) {
    sendToAll(OwnershipDeltaMessage{ part });
  }
}

void ChangeRelay::sendToAll(const PeerMessage& message)
{
  peerLink_.send(dispatch::planFanout(peerTable_.receivers(), ownDomain_, {}, clockNow()), message);
}

} // namespace sycamore::entry

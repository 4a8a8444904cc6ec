#pragma once

#include <dispatch/RelayedCopy.h>
#include <wire/StoreProtocol.h>

#include <vector>

namespace sycamore::entry {

// Objects of one kind that were changed or deleted between two states of a copy, or a part of them.
struct ObjectChange
{
  wire::Kind kind = wire::Kind::Servers;
  dispatch::ChangePart part;
  std::vector<wire::WatchEvent> events;
};

// Parts that each fit into a datagram. None if an object is too large for one: the other VMs then
// read the objects from the store.
std::vector<ObjectChange> splitChange(const ObjectChange& change);

} // namespace sycamore::entry

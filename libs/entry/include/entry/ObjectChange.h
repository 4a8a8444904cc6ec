#pragma once

#include <dispatch/RelayedCopy.h>
#include <wire/StoreProtocol.h>

#include <vector>

namespace sycamore::entry {

// Objects of one kind that were changed or deleted between two revisions of a copy, or one part of
// these objects.
struct ObjectChange
{
  wire::Kind kind = wire::Kind::Servers;
  dispatch::ChangePart part;
  std::vector<wire::WatchEvent> events;
};

// Splits a change into parts that each fit into a datagram. Returns no parts if an object is too
// large for a datagram; the other VMs then read the objects from the store.
std::vector<ObjectChange> splitChange(const ObjectChange& change);

} // namespace sycamore::entry

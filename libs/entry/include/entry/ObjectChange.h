#pragma once

#include <entry/ObjectPatch.h>

#include <dispatch/RelayedCopy.h>
#include <wire/StoreProtocol.h>

#include <map>
#include <vector>

namespace sycamore::entry {

// Objects of one kind that were changed or deleted between two revisions of a copy, or one part of
// these objects.
struct ObjectChange
{
  wire::Kind kind = wire::Kind::Servers;
  dispatch::ChangePart part;
  std::vector<wire::WatchEvent> events;
  // Changes of objects that are too large to be sent as a whole.
  std::vector<ObjectPatch> patches = {};
  // States of the changed objects before the change, by name, on the VM that has read it. They are
  // not sent.
  std::map<std::string, wire::StoreObject> replaced = {};
};

// Splits a change into parts that each fit into a datagram. Large objects are sent as the
// difference from their replaced state. Returns no parts if an object can't be sent; the other VMs
// then read the objects from the store.
std::vector<ObjectChange> splitChange(const ObjectChange& change);

} // namespace sycamore::entry

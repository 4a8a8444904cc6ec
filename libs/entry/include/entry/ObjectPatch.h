#pragma once

#include <wire/StoreProtocol.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::entry {

// A part of the difference between two states of an object, as a merge patch of its JSON (RFC
// 7396).
struct ObjectPatch
{
  std::string name;
  // Revisions of the object before and after the change.
  std::uint64_t previous = 0;
  std::uint64_t revision = 0;
  bool deleting = false;
  std::string mergePatch;

  bool operator==(const ObjectPatch&) const = default;
};

// Returns the patches that together lead from one state of an object to the next, in any order.
// Each takes about `maxBytes` or less, unless a single value is larger. Returns none if the states
// don't differ, or if merge patches can't express the difference.
std::vector<ObjectPatch> diffObjects(const wire::StoreObject& from,
                                     const wire::StoreObject& to,
                                     std::size_t maxBytes);

// Applies all patches of one change. Throws wire::WireError if the object or a patch isn't JSON.
wire::StoreObject applyPatches(const wire::StoreObject& from,
                               const std::vector<ObjectPatch>& patches);

} // namespace sycamore::entry

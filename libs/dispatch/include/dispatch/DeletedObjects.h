#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sycamore::dispatch {

// Remembers which objects a copy of the store has lost, so that an older state of an object, from a
// replica or from a watch that starts again earlier, doesn't bring the object back.
class DeletedObjects
{
public:
  // An object was deleted. `revision` is the highest known revision of the object.
  void onDeleted(const std::string& name, std::uint64_t revision);

  // All objects of this revision were listed, so that any other object with a state up to it has
  // been deleted.
  void onListed(std::uint64_t revision);

  // Returns whether this state of an object that the copy doesn't have is from before its deletion.
  bool isOutdated(const std::string& name, std::uint64_t revision) const;

private:
  std::map<std::string, std::uint64_t> revisions_;
  std::map<std::uint64_t, std::string> names_;
  std::uint64_t listedRevision_ = 0;
};

} // namespace sycamore::dispatch

#pragma once

#include <base/Ids.h>
#include <base/StrongType.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sycamore::platform {

// Position in the sequence of all writes to the platform.
using Revision = base::Strong<std::uint64_t, struct RevisionTag>;

// An object of the platform. Version 0 and a null value stand for an absent one.
struct StoredObject
{
  std::string kind;
  std::string name;
  base::Version version;
  nlohmann::json value;
};

// All objects of a kind as of a revision.
struct ObjectList
{
  Revision revision;
  std::vector<StoredObject> objects;
};

// Changes of a kind's objects up to a revision; empty if a watch ended without changes.
struct ObjectChanges
{
  Revision revision;
  std::vector<StoredObject> objects;
  std::vector<std::string> deleted;
};

} // namespace sycamore::platform

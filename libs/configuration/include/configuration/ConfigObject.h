#pragma once

#include <base/Ids.h>
#include <configuration/ObjectName.h>

#include <string>
#include <vector>

namespace sycamore::configuration {

// A configuration object as the platform stores it. The stored value is the operator's document
// plus the fields `writers` (tokens of the latest writes, newest first) and, for a deleted object,
// `deleted`. A delete is a conditional write like any other, which stores a tombstone: the platform
// keeps the object, so that its version keeps increasing.
struct ConfigObject
{
  ObjectName name;
  base::Version version;
  // The stored value in JSON.
  std::string value;

  friend bool operator==(const ConfigObject&, const ConfigObject&) = default;
};

using ConfigObjects = std::vector<ConfigObject>;

} // namespace sycamore::configuration

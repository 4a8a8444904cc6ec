#pragma once

#include <base/Ids.h>
#include <configuration/ObjectName.h>

#include <string>
#include <vector>

namespace sycamore::configuration {

// A configuration object as the platform stores it. The stored value is the operator's document
// plus the fields `writers` (tokens of the latest writes, newest first) and, for a deleted object,
// `deleted`. A delete is a write like any other: the platform object stays, so its version goes on.
struct ConfigObject
{
  ObjectName name;
  base::Version version;
  // The stored value, JSON.
  std::string value;

  friend bool operator==(const ConfigObject&, const ConfigObject&) = default;
};

using ConfigObjects = std::vector<ConfigObject>;

} // namespace sycamore::configuration

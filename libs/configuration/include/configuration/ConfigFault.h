#pragma once

#include <string>
#include <vector>

namespace sycamore::configuration {

// Validation error of a configuration document. The path is a JSON pointer (RFC 6901), empty for
// the entire document.
struct ConfigFault
{
  std::string path;
  std::string message;

  friend bool operator==(const ConfigFault&, const ConfigFault&) = default;
};

using ConfigFaults = std::vector<ConfigFault>;

} // namespace sycamore::configuration

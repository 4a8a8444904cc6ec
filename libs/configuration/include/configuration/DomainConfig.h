#pragma once

#include <base/Ids.h>

#include <string>

namespace sycamore::configuration {

// State of a failure domain. A domain without a stored object is in service.
struct DomainConfig
{
  base::DomainId domain;
  bool inService = true;
  // Reason for taking the domain out of service, for display to operators only.
  std::string reason;

  friend bool operator==(const DomainConfig&, const DomainConfig&) = default;
};

} // namespace sycamore::configuration

#pragma once

#include <configuration/DomainConfig.h>

#include <string>

namespace sycamore::configuration {

// Returns the JSON document that stores the state of a failure domain.
std::string domainDocument(const DomainConfig& config);

} // namespace sycamore::configuration

#pragma once

#include <configuration/DomainConfig.h>

#include <string>

namespace sycamore::configuration {

// The document of a failure domain, as operators' calls store it.
std::string domainDocument(const DomainConfig& config);

} // namespace sycamore::configuration

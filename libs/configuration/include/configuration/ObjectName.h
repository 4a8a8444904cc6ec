#pragma once

#include <base/Ids.h>

#include <optional>
#include <string>

namespace sycamore::configuration {

// Name of an object of the platform's kind `config`: "service.<id>" or "domain.<id>".
using ObjectName = base::Strong<std::string, struct ObjectNameTag>;

ObjectName objectName(const base::ServiceId& service);
ObjectName objectName(const base::DomainId& domain);

// Return the id in the name, or nothing if the name is not that of a service or domain,
// respectively.
std::optional<base::ServiceId> serviceOf(const ObjectName& name);
std::optional<base::DomainId> domainOf(const ObjectName& name);

// Whether the id is valid for a service or failure domain: 1 to 63 lower-case letters, digits and
// '-', with no '-' at either end.
bool isValidId(const std::string& id);

} // namespace sycamore::configuration

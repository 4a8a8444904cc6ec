#include <configuration/ObjectName.h>

#include <algorithm>
#include <string_view>

namespace sycamore::configuration {

namespace {

constexpr std::string_view kServicePrefix = "service.";
constexpr std::string_view kDomainPrefix = "domain.";

std::optional<std::string> idAfter(std::string_view prefix, const std::string& name)
{
  if (!name.starts_with(prefix)) {
    return std::nullopt;
  }
  std::string id = name.substr(prefix.size());
  return isValidId(id) ? std::optional(std::move(id)) : std::nullopt;
}

bool isIdCharacter(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

} // namespace

ObjectName objectName(const base::ServiceId& service)
{
  return ObjectName(std::string(kServicePrefix) + service.value());
}

ObjectName objectName(const base::DomainId& domain)
{
  return ObjectName(std::string(kDomainPrefix) + domain.value());
}

std::optional<base::ServiceId> serviceOf(const ObjectName& name)
{
  const auto id = idAfter(kServicePrefix, name.value());
  return id ? std::optional(base::ServiceId(*id)) : std::nullopt;
}

std::optional<base::DomainId> domainOf(const ObjectName& name)
{
  const auto id = idAfter(kDomainPrefix, name.value());
  return id ? std::optional(base::DomainId(*id)) : std::nullopt;
}

bool isValidId(const std::string& id)
{
  return !id.empty() && id.size() <= 63 && id.front() != '-' && id.back() != '-' &&
         std::all_of(id.begin(), id.end(), isIdCharacter);
}

} // namespace sycamore::configuration

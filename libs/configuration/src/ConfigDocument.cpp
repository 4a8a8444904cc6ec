#include <configuration/ConfigDocument.h>

#include <nlohmann/json.hpp>

namespace sycamore::configuration {

std::string domainDocument(const DomainConfig& config)
{
  nlohmann::json document = { { "domain", config.domain.value() },
                              { "state", config.inService ? "in" : "out" } };
  if (!config.reason.empty()) {
    document["reason"] = config.reason;
  }
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace sycamore::configuration

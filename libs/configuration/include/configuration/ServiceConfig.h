#pragma once

#include <base/Ids.h>
#include <configuration/ColdStartConfig.h>
#include <configuration/MethodConfig.h>
#include <configuration/ServiceLimits.h>
#include <configuration/ServiceObjective.h>
#include <configuration/ServiceWeights.h>
#include <configuration/VoteMode.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sycamore::configuration {

// Configuration of one service. Fields that a document omits have these defaults.
struct ServiceConfig
{
  base::ServiceId service;
  bool keyed = true;
  // Fixed when the service is created: a different count would reassign all keys.
  std::uint32_t shards = 256;
  std::uint32_t slotsPerServer = 1;
  bool serversCheckTokens = false;
  VoteMode votes = VoteMode::Hold;
  std::vector<base::DomainId> domains;
  ServiceWeights weights;
  ColdStartConfig coldStart;
  ServiceLimits limits;
  std::map<base::MethodId, MethodConfig> methods;
  ServiceObjective objective;
  // Display names that programs show instead of standard terms. Has no effect on behaviour.
  std::map<std::string, std::string> vocabulary;

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

} // namespace sycamore::configuration

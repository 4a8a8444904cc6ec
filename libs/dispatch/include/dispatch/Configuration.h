#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamore::dispatch {

// Whether a request may run more than once.
enum class Repeatability
{
  Idempotent,
  AtMostOnce
};

// One destination of a route and its share of the requests.
struct RouteTarget
{
  base::ServiceId service;
  // Share relative to the other targets of the route, greater than 0.
  double weight = 1;
};

struct Route
{
  std::string name;
  // Lower case, without a port.
  std::string host;
  // Begins and ends with a slash.
  std::string pathPrefix;
  Repeatability repeatability = Repeatability::AtMostOnce;
  // Maximum time until the caller gets an answer.
  base::Duration timeout{};
  // Latency up to which an answer has its full value to the caller.
  base::Duration targetLatency{};
  // Maximum number of servers that one request may be sent to.
  unsigned attempts = 1;
  // 0 is the most urgent.
  unsigned priority = 0;
  // Whether requests of the route need no key and belong to no workspace.
  bool isPublic = false;
  std::vector<RouteTarget> targets;
};

// A group of callers that share keys, a quota and a priority.
struct Workspace
{
  base::WorkspaceId id;
  // The callers' secrets; they must not be logged.
  std::vector<std::string> apiKeys;
  // Requests per second of all entry VMs together; 0 for no quota.
  double requestsPerSecond = 0;
  // Requests that may be saved up while fewer are sent.
  double burst = 0;
  // Overrides the priority of a request's route.
  std::optional<unsigned> priority;

  bool hasQuota() const { return requestsPerSecond > 0; }
};

struct ServicePolicy
{
  // Maximum number of connections to one server from all entry VMs together.
  unsigned maxConnections = 0;
  // Maximum requests per second to a cold server.
  double coldRate = 0;
  // Whether each key is owned by a single server.
  bool keyed = false;
};

// Limits on callers' connections and requests.
struct CallerLimits
{
  std::uint32_t headerBytes = 16384;
  std::uint64_t bodyBytes = 1 << 20;
  // From the first byte of a request to the end of its headers.
  base::Duration headerTimeout = std::chrono::seconds(3);
  // Time for which an idle caller connection is kept open.
  base::Duration idleTimeout = std::chrono::seconds(15);
};

// A limit that this VM can't apply as the operators have set it.
struct AdjustedLimit
{
  // Name of the member of CallerLimits; empty for all of them.
  std::string name;
  // The configured value as text.
  std::string configured;
  // The value in force, in bytes or seconds.
  double inForce = 0;
};

// One version of the configuration that operators maintain.
struct Configuration
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<base::ServiceId, ServicePolicy> services;
  CallerLimits limits;
  std::vector<AdjustedLimit> adjustedLimits;
  // Kinds of routes that this version of the router doesn't know. Their requests are at most once.
  std::set<std::string> unknownRouteKinds;
  // Without a value, requests need no key.
  std::optional<std::vector<Workspace>> workspaces;
};

} // namespace sycamore::dispatch

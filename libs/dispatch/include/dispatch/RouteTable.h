#pragma once

#include <dispatch/Configuration.h>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamore::dispatch {

// Finds the route of a request and chooses among the targets of a route.
class RouteTable
{
public:
  explicit RouteTable(std::shared_ptr<const Configuration> configuration);

  const Configuration& configuration() const { return *configuration_; }

  // Returns the host's route with the longest matching path prefix; null if there is none. The path
  // may include a query.
  const Route* find(std::string_view host, std::string_view path) const;

  // Returns the next target of a route by weighted round robin, so that each target gets its share
  // of any sequence of requests.
  const base::ServiceId& nextTarget(const Route& route);

private:
  std::shared_ptr<const Configuration> configuration_;
  // Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> byHost_;
  // Round-robin credits of each route's targets.
  std::unordered_map<const Route*, std::vector<double>> credits_;
};

} // namespace sycamore::dispatch

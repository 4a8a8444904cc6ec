#include <dispatch/RouteTable.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Returns the host name in lower case and without its port, for comparison.
std::string normalizeHost(std::string_view host)
{
  const std::size_t colon = host.rfind(':');
  std::string normalized(host.substr(0, colon));
  std::transform(normalized.begin(), normalized.end(), normalized.begin(), [](unsigned char c) {
    return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
  });
  return normalized;
}

} // namespace

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
  : configuration_(std::move(configuration))
{
  for (const Route& route : configuration_->routes) {
    byHost_[normalizeHost(route.host)].push_back(&route);
    credits_[&route].resize(route.targets.size());
  }
  for (auto& [host, routes] : byHost_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->pathPrefix.size() > b->pathPrefix.size();
    });
  }
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
  const auto found = byHost_.find(normalizeHost(host));
  if (found == byHost_.end()) {
    return nullptr;
  }
  path = path.substr(0, path.find('?'));
  for (const Route* route : found->second) {
    if (path.starts_with(route->pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

const base::ServiceId& RouteTable::nextTarget(const Route& route)
{
  if (route.targets.size() == 1) {
    return route.targets.front().service;
  }
  // Smooth weighted round robin: each target is credited its weight; the one with the highest
  // credit is chosen and debited the sum of all weights.
  std::vector<double>& credits = credits_.at(&route);
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < credits.size(); ++i) {
    credits[i] += route.targets[i].weight;
    total += route.targets[i].weight;
    best = credits[i] > credits[best] ? i : best;
  }
  credits[best] -= total;
  return route.targets[best].service;
}

} // namespace sycamore::dispatch

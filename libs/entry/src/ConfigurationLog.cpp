#include <entry/ConfigurationLog.h>

namespace sycamore::entry {

void logConfiguration(EventLog& log,
                      const dispatch::Configuration& configuration,
                      std::uint64_t revision)
{
  log.write("configuration",
            { { "version", configuration.version },
              { "revision", revision },
              { "routes", configuration.routes.size() },
              { "workspaces", configuration.workspaces ? configuration.workspaces->size() : 0 } });
  for (const std::string& kind : configuration.unknownRouteKinds) {
    log.write("route_kind_unknown", { { "version", configuration.version }, { "kind", kind } });
  }
  for (const dispatch::AdjustedLimit& limit : configuration.adjustedLimits) {
    log.write("limit_adjusted",
              { { "version", configuration.version },
                { "limit", limit.name },
                { "configured", limit.configured },
                { "in_force", limit.inForce } });
  }
}

} // namespace sycamore::entry

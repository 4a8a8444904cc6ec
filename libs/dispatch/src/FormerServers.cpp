#include <dispatch/FormerServers.h>

namespace sycamore::dispatch {

namespace {

// Grants last for a shorter time, also those of a coordinator that was cut off.
constexpr base::Duration kRememberedTime = std::chrono::seconds(15);

} // namespace

void FormerServers::onServersChanged(const std::map<base::ServerId, BackendServer>& before,
                                     const std::map<base::ServerId, BackendServer>& after,
                                     base::TimePoint now)
{
  std::erase_if(former_, [now](const Former& former) { return now >= former.forgetAt; });
  for (const auto& [id, server] : before) {
    const auto present = after.find(id);
    if (present == after.end() || present->second.born != server.born) {
      former_.push_back({ server, now + kRememberedTime });
    }
  }
}

std::vector<BackendServer> FormerServers::servers(base::TimePoint now) const
{
  std::vector<BackendServer> result;
  for (const Former& former : former_) {
    if (now < former.forgetAt) {
      result.push_back(former.server);
    }
  }
  return result;
}

} // namespace sycamore::dispatch

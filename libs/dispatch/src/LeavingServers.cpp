#include <dispatch/LeavingServers.h>

namespace sycamore::dispatch {

namespace {

// Maximum number of servers that are remembered; those that aren't registered are forgotten first.
constexpr std::size_t kMaxRemembered = 1024;

} // namespace

bool LeavingServers::add(const ServerIncarnation& incarnation)
{
  const auto [entry, isNew] = leaving_.try_emplace(incarnation.id, incarnation.born);
  if (isNew || entry->second >= incarnation.born) {
    return isNew;
  }
  entry->second = incarnation.born;
  return true;
}

bool LeavingServers::contains(const ServerIncarnation& incarnation) const
{
  const auto found = leaving_.find(incarnation.id);
  return found != leaving_.end() && incarnation.born <= found->second;
}

void LeavingServers::apply(std::map<base::ServerId, BackendServer>& servers)
{
  registered_.clear();
  for (auto entry = leaving_.begin(); entry != leaving_.end();) {
    const auto& [id, born] = *entry;
    const auto server = servers.find(id);
    const bool isRegistered = server != servers.end();
    const bool isReplaced = isRegistered && server->second.born > born;
    const bool isSuperfluous = !isRegistered && leaving_.size() > kMaxRemembered;
    if (isReplaced || isSuperfluous) {
      entry = leaving_.erase(entry);
      continue;
    }
    if (isRegistered) {
      server->second.draining = true;
      registered_.push_back({ id, server->second.born });
    }
    ++entry;
  }
}

} // namespace sycamore::dispatch

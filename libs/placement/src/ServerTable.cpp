#include "ServerTable.h"

#include <base/KeyHash.h>
#include <placement/PlacementError.h>

#include <algorithm>
#include <unordered_map>

namespace sycamore::placement {

namespace {

// Lower limit of a cold server's warmth. A server this cold receives nothing, because not even one
// shard fits.
constexpr double kMinWarmth = 0.01;

} // namespace

ServerTable::ServerTable(const ShardMap& map,
                         std::span<const ServerView> servers,
                         std::span<const base::DomainId> domainsOut)
  : entries_(map.servers().size())
{
  std::unordered_map<base::DomainId, std::uint32_t> domains;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const MapServer& server = map.servers()[i];
    const auto newIndex = static_cast<std::uint32_t>(domains.size());
    entries_[i].domain = domains.emplace(server.entry.domain, newIndex).first->second;
    entries_[i].hash = base::hashBytes(server.id.value());
  }
  for (const ServerView& view : servers) {
    const ServerIndex index = map.indexOf(view.id);
    if (index == kNoServer) {
      continue;
    }
    const base::DomainId& domain = map.server(index).entry.domain;
    const bool isOutOfService = std::ranges::find(domainsOut, domain) != domainsOut.end();
    classify(entries_[index.value()], view, isOutOfService);
  }
}

bool ServerTable::canReceive(ServerIndex server) const
{
  return role(server) == Role::Live || role(server) == Role::Cold;
}

bool ServerTable::sameDomain(ServerIndex a, ServerIndex b) const
{
  return entries_[a.value()].domain == entries_[b.value()].domain;
}

void ServerTable::classify(Entry& entry, const ServerView& view, bool isDomainOut)
{
  if (!(view.capacity > 0)) {
    throw PlacementError("server " + view.id.value() + " needs a capacity above 0");
  }
  entry.capacity = view.capacity;
  if (view.state == ServerState::Lost) {
    entry.role = Role::Lost;
    entry.reason = MoveReason::ServerLost;
  } else if (view.state == ServerState::Leaving) {
    entry.role = Role::Drained;
    entry.reason = MoveReason::ServerLeaving;
  } else if (isDomainOut) {
    entry.role = Role::Drained;
    entry.reason = MoveReason::DomainOut;
  } else if (view.state == ServerState::Cold) {
    entry.role = Role::Cold;
    entry.capacity *= std::clamp(view.warmth, kMinWarmth, 1.0);
  } else {
    entry.role = Role::Live;
  }
}

} // namespace sycamore::placement

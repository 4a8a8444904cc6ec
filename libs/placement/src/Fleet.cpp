#include "Fleet.h"

#include <base/KeyHash.h>
#include <placement/PlacementError.h>

#include <algorithm>
#include <unordered_map>

namespace sycamore::placement {

namespace {

// A colder server than this receives nothing: not even one shard would fit.
constexpr double kMinWarmth = 0.01;

} // namespace

Fleet::Fleet(const ShardMap& map,
             std::span<const ServerView> servers,
             std::span<const base::DomainId> domainsOut)
  : members_(map.servers().size())
{
  std::unordered_map<base::DomainId, std::uint32_t> domains;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const MapServer& server = map.servers()[i];
    const auto next = static_cast<std::uint32_t>(domains.size());
    members_[i].domain = domains.emplace(server.entry.domain, next).first->second;
    members_[i].hash = base::hashBytes(server.id.value());
  }
  for (const ServerView& view : servers) {
    const ServerIndex index = map.indexOf(view.id);
    if (index == kNoServer) {
      continue;
    }
    const base::DomainId& domain = map.server(index).entry.domain;
    const bool out = std::ranges::find(domainsOut, domain) != domainsOut.end();
    classify(members_[index.value()], view, out);
  }
}

bool Fleet::isTarget(ServerIndex server) const
{
  return role(server) == Role::Live || role(server) == Role::Cold;
}

bool Fleet::sameDomain(ServerIndex a, ServerIndex b) const
{
  return members_[a.value()].domain == members_[b.value()].domain;
}

void Fleet::classify(Member& member, const ServerView& view, bool domainOut)
{
  if (!(view.capacity > 0)) {
    throw PlacementError("server " + view.id.value() + " needs a capacity above 0");
  }
  member.capacity = view.capacity;
  if (view.state == ServerState::Lost) {
    member.role = Role::Lost;
    member.reason = MoveReason::ServerLost;
  } else if (view.state == ServerState::Leaving) {
    member.role = Role::Drained;
    member.reason = MoveReason::ServerLeaving;
  } else if (domainOut) {
    member.role = Role::Drained;
    member.reason = MoveReason::DomainOut;
  } else if (view.state == ServerState::Cold) {
    member.role = Role::Cold;
    member.capacity *= std::clamp(view.warmth, kMinWarmth, 1.0);
  } else {
    member.role = Role::Live;
  }
}

} // namespace sycamore::placement

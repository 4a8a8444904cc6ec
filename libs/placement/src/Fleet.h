#pragma once

#include <placement/Move.h>
#include <placement/ServerView.h>
#include <placement/ShardMap.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace sycamore::placement {

// What planning may do with each server of a map.
class Fleet
{
public:
  enum class Role
  {
    // Gives and receives shards.
    Live,
    // Keeps its shards, receives within its warmth.
    Cold,
    // Gives all shards, to any server.
    Drained,
    // Gives all shards, to their recorded successors only.
    Lost,
    // Not in the servers' list: left alone.
    Unknown
  };

  Fleet(const ShardMap& map,
        std::span<const ServerView> servers,
        std::span<const base::DomainId> domainsOut);

  std::uint32_t size() const { return static_cast<std::uint32_t>(members_.size()); }
  Role role(ServerIndex server) const { return members_[server.value()].role; }
  bool isTarget(ServerIndex server) const;
  // Why a Drained or Lost server gives its shards.
  MoveReason drainReason(ServerIndex server) const { return members_[server.value()].reason; }
  // Of a cold server: the warmed part.
  double capacity(ServerIndex server) const { return members_[server.value()].capacity; }
  bool sameDomain(ServerIndex a, ServerIndex b) const;
  std::uint64_t hash(ServerIndex server) const { return members_[server.value()].hash; }

private:
  struct Member
  {
    Role role = Role::Unknown;
    MoveReason reason = MoveReason::Balance;
    double capacity = 1.0;
    std::uint32_t domain = 0;
    std::uint64_t hash = 0;
  };

  static void classify(Member& member, const ServerView& view, bool domainOut);

  std::vector<Member> members_;
};

} // namespace sycamore::placement

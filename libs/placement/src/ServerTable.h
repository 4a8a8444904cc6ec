#pragma once

#include <placement/Move.h>
#include <placement/ServerView.h>
#include <placement/ShardMap.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace sycamore::placement {

// The role, capacity and failure domain of each server of a map during one planning step.
class ServerTable
{
public:
  enum class Role
  {
    // Shards may be moved to and from it.
    Live,
    // Keeps its shards and receives as many as ServerView::warmth allows.
    Cold,
    // All its shards are moved, to any servers.
    Drained,
    // All its shards are moved, each to its recorded successor only.
    Lost,
    // Not in the list of servers: keeps its shards and receives none.
    Unknown
  };

  ServerTable(const ShardMap& map,
              std::span<const ServerView> servers,
              std::span<const base::DomainId> domainsOut);

  std::uint32_t size() const { return static_cast<std::uint32_t>(entries_.size()); }
  Role role(ServerIndex server) const { return entries_[server.value()].role; }
  bool canReceive(ServerIndex server) const;
  // Returns the reason why the shards of a Drained or Lost server are moved.
  MoveReason drainReason(ServerIndex server) const { return entries_[server.value()].reason; }
  // Returns the capacity; for a cold server, multiplied by ServerView::warmth.
  double capacity(ServerIndex server) const { return entries_[server.value()].capacity; }
  bool sameDomain(ServerIndex a, ServerIndex b) const;
  std::uint64_t hash(ServerIndex server) const { return entries_[server.value()].hash; }

private:
  struct Entry
  {
    Role role = Role::Unknown;
    MoveReason reason = MoveReason::Balance;
    double capacity = 1.0;
    std::uint32_t domain = 0;
    std::uint64_t hash = 0;
  };

  static void classify(Entry& entry, const ServerView& view, bool isDomainOut);

  std::vector<Entry> entries_;
};

} // namespace sycamore::placement

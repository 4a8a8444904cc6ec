#include <placement/MapServerList.h>

#include <placement/ShardMapBuilder.h>

#include <unordered_map>
#include <vector>

namespace sycamore::placement {

namespace {

using Views = std::unordered_map<base::ServerId, const ServerView*>;

bool isUsable(const ServerView& view)
{
  return view.state == ServerState::Live || view.state == ServerState::Cold;
}

std::vector<bool> findUsed(const ShardMap& map)
{
  std::vector<bool> used(map.servers().size());
  map.forEachShard([&](base::ShardId, const ShardRow& row) {
    used[row.owner.value()] = true;
    if (row.successor != kNoServer) {
      used[row.successor.value()] = true;
    }
  });
  return used;
}

bool updatePresent(ShardMapBuilder& builder, const ShardMap& map, const Views& views)
{
  bool changed = false;
  const std::vector<bool> used = findUsed(map);
  for (std::size_t i = 0; i < map.servers().size(); ++i) {
    const MapServer& server = map.servers()[i];
    const auto at = views.find(server.id);
    if (at == views.end() || !isUsable(*at->second)) {
      if (!used[i]) {
        builder.removeServer(server.id);
        changed = true;
      }
      continue;
    }
    ServerEntry entry{ at->second->address, at->second->domain, server.entry.voters };
    if (entry != server.entry) {
      builder.setServer(server.id, std::move(entry));
      changed = true;
    }
  }
  return changed;
}

} // namespace

std::optional<ShardMap> updateServerList(const ShardMap& map,
                                         std::span<const ServerView> servers,
                                         std::span<const EntryVm> entryVms,
                                         VoterMode mode,
                                         std::string writer)
{
  Views views;
  for (const ServerView& view : servers) {
    views.emplace(view.id, &view);
  }
  ShardMapBuilder builder(map);
  bool changed = updatePresent(builder, map, views);
  for (const ServerView& view : servers) {
    if (isUsable(view) && !map.find(view.id)) {
      const auto voters = chooseVoters(view.id, view.domain, mode, {}, entryVms);
      builder.setServer(view.id, { view.address, view.domain, voters });
      changed = true;
    }
  }
  if (!changed) {
    return std::nullopt;
  }
  builder.setGeneration(base::Generation(map.generation().value() + 1));
  builder.setWriter(std::move(writer));
  return builder.build();
}

} // namespace sycamore::placement

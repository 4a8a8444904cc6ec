#include <placement/MapServerList.h>

#include <placement/ShardMapBuilder.h>

#include <unordered_map>
#include <vector>

namespace sycamore::placement {

namespace {

using ViewsById = std::unordered_map<base::ServerId, const ServerView*>;

bool isUsable(const ServerView& view)
{
  return view.state == ServerState::Live || view.state == ServerState::Cold;
}

std::vector<bool> findReferencedServers(const ShardMap& map)
{
  std::vector<bool> isReferenced(map.servers().size());
  map.forEachShard([&](base::ShardId, const ShardRow& row) {
    isReferenced[row.owner.value()] = true;
    if (row.successor != kNoServer) {
      isReferenced[row.successor.value()] = true;
    }
  });
  return isReferenced;
}

bool updateExistingServers(ShardMapBuilder& builder,
                           const ShardMap& map,
                           const ViewsById& viewsById)
{
  bool hasChanged = false;
  const std::vector<bool> isReferenced = findReferencedServers(map);
  for (std::size_t i = 0; i < map.servers().size(); ++i) {
    const MapServer& server = map.servers()[i];
    const auto found = viewsById.find(server.id);
    if (found == viewsById.end() || !isUsable(*found->second)) {
      if (!isReferenced[i]) {
        builder.removeServer(server.id);
        hasChanged = true;
      }
      continue;
    }
    ServerEntry entry{ found->second->address, found->second->domain, server.entry.voters };
    if (entry != server.entry) {
      builder.setServer(server.id, std::move(entry));
      hasChanged = true;
    }
  }
  return hasChanged;
}

} // namespace

std::optional<ShardMap> updateServerList(const ShardMap& map,
                                         std::span<const ServerView> servers,
                                         std::span<const EntryVm> entryVms,
                                         VoterMode mode,
                                         std::string writer)
{
  ViewsById viewsById;
  for (const ServerView& view : servers) {
    viewsById.emplace(view.id, &view);
  }
  ShardMapBuilder builder(map);
  bool hasChanged = updateExistingServers(builder, map, viewsById);
  for (const ServerView& view : servers) {
    if (isUsable(view) && !map.find(view.id)) {
      const auto voters = chooseVoters(view.id, view.domain, mode, {}, entryVms);
      builder.setServer(view.id, { view.address, view.domain, voters });
      hasChanged = true;
    }
  }
  if (!hasChanged) {
    return std::nullopt;
  }
  builder.setGeneration(base::Generation(map.generation().value() + 1));
  builder.setWriter(std::move(writer));
  return builder.build();
}

} // namespace sycamore::placement

#include "SuccessorRepairs.h"

#include "SuccessorSelector.h"

#include <optional>

namespace sycamore::placement {

namespace {

class SuccessorRepairer
{
public:
  SuccessorRepairer(const ShardMap& map,
                    const ServerTable& serverTable,
                    const std::function<bool(base::ShardId)>& skip,
                    std::size_t maxChanges)
    : map_(map)
    , skip_(skip)
    , maxChanges_(maxChanges)
    , selector_(serverTable)
  {
    map.forEachShard([&](base::ShardId, const ShardRow& row) {
      if (row.successor != kNoServer) {
        selector_.incrementTotal(row.successor);
      }
    });
  }

  void repairOwner(ServerIndex owner)
  {
    selector_.startOwner(owner);
    for (const base::ShardId shard : map_.shardsOf(owner)) {
      selector_.addSuccessor(map_.row(shard).successor);
    }
    for (const base::ShardId shard : map_.shardsOf(owner)) {
      const ServerIndex current = map_.row(shard).successor;
      const bool replace = selector_.mustReplace(current) || selector_.isOverrepresented(current);
      if (replace && changes_.size() < maxChanges_ && !skip_(shard)) {
        replaceSuccessor(shard, current);
      }
    }
  }

  std::vector<SuccessorChange> takeChanges() { return std::move(changes_); }

private:
  void replaceSuccessor(base::ShardId shard, ServerIndex current)
  {
    selector_.removeSuccessor(current);
    const ServerIndex chosen = selector_.choose(shard);
    if (chosen == kNoServer) {
      if (current != kNoServer) {
        changes_.push_back({ shard, std::nullopt });
      }
      return;
    }
    selector_.addSuccessor(chosen);
    selector_.incrementTotal(chosen);
    if (chosen != current) {
      changes_.push_back({ shard, map_.server(chosen).id });
    }
  }

  const ShardMap& map_;
  const std::function<bool(base::ShardId)>& skip_;
  std::size_t maxChanges_;
  SuccessorSelector selector_;
  std::vector<SuccessorChange> changes_;
};

} // namespace

std::vector<SuccessorChange> repairSuccessors(const ShardMap& map,
                                              const ServerTable& serverTable,
                                              const std::function<bool(base::ShardId)>& skip,
                                              std::size_t maxChanges)
{
  SuccessorRepairer repairer(map, serverTable, skip, maxChanges);
  for (std::uint32_t i = 0; i < serverTable.size(); ++i) {
    const ServerIndex owner(i);
    const ServerTable::Role role = serverTable.role(owner);
    if (role != ServerTable::Role::Lost && role != ServerTable::Role::Unknown) {
      repairer.repairOwner(owner);
    }
  }
  return repairer.takeChanges();
}

} // namespace sycamore::placement

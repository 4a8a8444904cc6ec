#include "SuccessorRepairs.h"

#include "SuccessorSpread.h"

#include <optional>

namespace sycamore::placement {

namespace {

class Repair
{
public:
  Repair(const ShardMap& map,
         const Fleet& fleet,
         const std::function<bool(base::ShardId)>& skip,
         std::size_t maxChanges)
    : map_(map)
    , skip_(skip)
    , maxChanges_(maxChanges)
    , spread_(fleet)
  {
    map.forEachShard([&](base::ShardId, const ShardRow& row) {
      if (row.successor != kNoServer) {
        spread_.addTotal(row.successor);
      }
    });
  }

  void repairOwner(ServerIndex owner)
  {
    spread_.reset(owner);
    for (const base::ShardId shard : map_.shardsOf(owner)) {
      spread_.add(map_.row(shard).successor);
    }
    for (const base::ShardId shard : map_.shardsOf(owner)) {
      const ServerIndex present = map_.row(shard).successor;
      const bool replace = spread_.mustReplace(present) || spread_.isCrowded(present);
      if (replace && changes_.size() < maxChanges_ && !skip_(shard)) {
        change(shard, present);
      }
    }
  }

  std::vector<SuccessorChange> take() { return std::move(changes_); }

private:
  void change(base::ShardId shard, ServerIndex present)
  {
    spread_.remove(present);
    const ServerIndex chosen = spread_.choose(shard);
    if (chosen == kNoServer) {
      if (present != kNoServer) {
        changes_.push_back({ shard, std::nullopt });
      }
      return;
    }
    spread_.add(chosen);
    spread_.addTotal(chosen);
    if (chosen != present) {
      changes_.push_back({ shard, map_.server(chosen).id });
    }
  }

  const ShardMap& map_;
  const std::function<bool(base::ShardId)>& skip_;
  std::size_t maxChanges_;
  SuccessorSpread spread_;
  std::vector<SuccessorChange> changes_;
};

} // namespace

std::vector<SuccessorChange> repairSuccessors(const ShardMap& map,
                                              const Fleet& fleet,
                                              const std::function<bool(base::ShardId)>& skip,
                                              std::size_t maxChanges)
{
  Repair repair(map, fleet, skip, maxChanges);
  for (std::uint32_t i = 0; i < fleet.size(); ++i) {
    const ServerIndex owner(i);
    const Fleet::Role role = fleet.role(owner);
    if (role != Fleet::Role::Lost && role != Fleet::Role::Unknown) {
      repair.repairOwner(owner);
    }
  }
  return repair.take();
}

} // namespace sycamore::placement

#pragma once

#include <ownership/ServerRow.h>
#include <ownership/ShardSet.h>
#include <placement/ShardMap.h>

#include <memory>

namespace sycamore::control {

// View of one service's map against which permits are checked (ownership::OwnerView).
class ServiceShards
{
public:
  explicit ServiceShards(std::shared_ptr<const placement::ShardMap> map)
    : map_(std::move(map))
  {
  }

  base::Generation generation() const { return map_->generation(); }

  // Returns the shards that the server has owned with the same successor since the given generation
  // or longer.
  ownership::ShardSet ownedSince(const base::ServerId& server, base::Generation generation) const;

private:
  std::shared_ptr<const placement::ShardMap> map_;
};

// Converts a map's entry of one server to the row that server leases use.
ownership::ServerRow rowOf(const placement::ShardMap& map, const base::ServerId& server);

} // namespace sycamore::control

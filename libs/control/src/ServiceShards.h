#pragma once

#include <ownership/ServerRow.h>
#include <ownership/ShardSet.h>
#include <placement/ShardMap.h>

#include <memory>

namespace sycamore::control {

// The shards of each server of one service's map; the view against which permits are checked.
class ServiceShards
{
public:
  explicit ServiceShards(std::shared_ptr<const placement::ShardMap> map)
    : map_(std::move(map))
  {
  }

  base::Generation generation() const { return map_->generation(); }

  // Shards that the server has owned with the same successor since the generation or longer.
  ownership::ShardSet ownedSince(const base::ServerId& server, base::Generation generation) const;

private:
  std::shared_ptr<const placement::ShardMap> map_;
};

// What a map says about one server, in the form that tenancies use.
ownership::ServerRow rowOf(const placement::ShardMap& map, const base::ServerId& server);

} // namespace sycamore::control

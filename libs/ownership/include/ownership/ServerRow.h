#pragma once

#include <base/Ids.h>
#include <ownership/ShardSet.h>

#include <map>
#include <vector>

namespace sycamore::ownership {

// The entry of one server in a shard map of one generation.
struct ServerRow
{
  base::ServerId server;
  base::Generation generation;
  // Last generation that changed this server's shards, their successors or its voters.
  base::Generation rowGeneration;
  ShardSet owned;
  // The owned shards, grouped by their recorded successor.
  std::map<base::ServerId, ShardSet> successors;
  // Whether the server refuses lower terms (setting servers_check_tokens of the service).
  bool checksTokens = true;
  // In order of preference.
  std::vector<base::VmId> voters;
};

} // namespace sycamore::ownership

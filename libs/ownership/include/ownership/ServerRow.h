#pragma once

#include <base/Ids.h>
#include <ownership/ShardSet.h>

#include <map>
#include <vector>

namespace sycamore::ownership {

// What a shard map of one generation says about one server.
struct ServerRow
{
  base::ServerId server;
  base::Generation generation;
  // The last generation that changed this server's shards, their successors or its voters.
  base::Generation rowGeneration;
  ShardSet owned;
  // The owned shards by their recorded successor.
  std::map<base::ServerId, ShardSet> successors;
  // Whether the server refuses lower terms (setting servers_check_tokens of the service).
  bool checksTokens = true;
  // In order of preference.
  std::vector<base::VmId> voters;
};

} // namespace sycamore::ownership

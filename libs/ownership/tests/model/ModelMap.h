#pragma once

#include <ownership/ServerRow.h>

#include <memory>
#include <string>
#include <vector>

namespace sycamore::ownership::model {

// A shard map of the fake platform, with all servers of one service.
struct ModelMap
{
  struct Shard
  {
    int owner = 0;
    int successor = 0;
    base::Generation since;
  };

  base::Generation generation;
  std::string writer;
  std::vector<Shard> shards;
  std::vector<std::vector<base::VmId>> voters;
  // For each server, the last generation that changed its row.
  std::vector<base::Generation> rowGenerations;

  ServerRow row(int server) const
  {
    ServerRow result;
    result.server = id(server);
    result.generation = generation;
    result.rowGeneration = rowGenerations[server];
    result.voters = voters[server];
    for (std::uint32_t i = 0; i < shards.size(); ++i) {
      if (shards[i].owner == server) {
        result.owned.insert(base::ShardId(i));
        result.successors[id(shards[i].successor)].insert(base::ShardId(i));
      }
    }
    return result;
  }

  static base::ServerId id(int server) { return base::ServerId("s" + std::to_string(server)); }
  static int index(const base::ServerId& server) { return std::stoi(server.value().substr(1)); }
};

using MapPtr = std::shared_ptr<const ModelMap>;

} // namespace sycamore::ownership::model

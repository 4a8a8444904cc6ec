#pragma once

#include "ModelClock.h"
#include "ModelMap.h"

#include <PermitTableImpl.h>
#include <ServerLeaseImpl.h>
#include <VoterImpl.h>

#include <memory>
#include <optional>

namespace sycamore::ownership::model {

// The state of one incarnation of an entry VM; a restart replaces it.
template<OwnershipRules Rules>
struct ModelVm
{
  // A write that is repeated until a newer generation is seen.
  struct Write
  {
    base::Generation base;
    MapPtr value;
    base::Duration retryAt{};
  };

  struct ServerState
  {
    BasicServerLease<Rules> lease;
    std::optional<Write> write;
    std::optional<base::Generation> pendingAdvance;
    int moveTarget = 0;
  };

  ModelVm(int number,
          std::uint64_t incarnation,
          ModelClock theClock,
          base::Duration real,
          MapPtr known)
    : index(number)
    , self{ name(number), base::Incarnation(incarnation) }
    , clock(theClock)
    , voter(self, timings(), theClock.at(real))
    , map(std::move(known))
  {
    for (int server = 0; server < static_cast<int>(map->voters.size()); ++server) {
      serverStates.push_back(
        { BasicServerLease<Rules>(self, timings(), map->row(server), clock.at(real)), {}, {}, 0 });
    }
  }

  static base::VmId name(int number) { return base::VmId("v" + std::to_string(number)); }
  static int number(const base::VmId& vm) { return std::stoi(vm.value().substr(1)); }
  static LeaseTimings timings() { return LeaseTimings::Builder().build(); }

  // Members required by OwnerView, for PermitTable.
  base::Generation generation() const { return map->generation; }
  ShardSet ownedSince(const base::ServerId& server, base::Generation since) const
  {
    ShardSet result;
    for (std::uint32_t i = 0; i < map->shards.size(); ++i) {
      if (ModelMap::id(map->shards[i].owner) == server && map->shards[i].since <= since) {
        result.insert(base::ShardId(i));
      }
    }
    return result;
  }

  int index;
  HolderId self;
  ModelClock clock;
  BasicVoter<Rules> voter;
  BasicPermitTable<Rules> permits;
  MapPtr map;
  std::vector<ServerState> serverStates;
};

} // namespace sycamore::ownership::model

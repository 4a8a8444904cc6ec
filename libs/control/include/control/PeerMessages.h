#pragma once

#include <base/Ids.h>
#include <ownership/LeaseKind.h>
#include <ownership/Permit.h>
#include <ownership/VoteReply.h>
#include <ownership/VoteRequest.h>
#include <ownership/VoterStateReply.h>
#include <ownership/VoterStateRequest.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sycamore::control {

// A server lease that the sender of a heartbeat holds.
struct HeldLease
{
  base::ServerId server;
  base::ServiceId service;
  base::Term term;
  ownership::LeaseKind kind = ownership::LeaseKind::Active;
  // The server has reported that it accepts no new requests.
  bool draining = false;
  // The server has recently accepted a grant of this term.
  bool serving = false;
};

// Body of /peer/heartbeat, and of its answer.
struct Heartbeat
{
  base::VmId from;
  base::Incarnation incarnation;
  std::string peerAddress;
  base::DomainId domain;
  bool leaving = false;
  std::vector<HeldLease> held;
  std::string configDigest;
  std::map<base::ServiceId, base::Generation> maps;
  std::uint64_t quarantineDigest = 0;
};

// Body of /peer/vote: all vote and voter state requests of one VM to another.
struct VoteBatch
{
  base::VmId from;
  std::vector<ownership::VoteRequest> requests;
  std::vector<ownership::VoterStateRequest> stateRequests;

  bool empty() const { return requests.empty() && stateRequests.empty(); }
};

// Answer to a VoteBatch.
struct VoteBatchReply
{
  std::vector<ownership::VoteReply> replies;
  std::vector<ownership::VoterStateReply> stateReplies;
};

// Body of /peer/permit: the servers whose leases the sender holds and which may be successors of an
// evicted server.
struct PermitQuery
{
  base::VmId from;
  std::vector<base::ServerId> servers;
};

// One planned move of a shard, which the planner requests from the lease holder of its owner.
struct MoveOrder
{
  base::ShardId shard;
  base::ServerId to;
  // Empty if the shard gets no successor.
  base::ServerId successor;
};

// One change of a shard's recorded successor.
struct SuccessorOrder
{
  base::ShardId shard;
  // Empty if the shard gets no successor.
  base::ServerId successor;
};

// Body of /peer/move: changes of a server's shards, their successors or its voters, which only the
// server's lease holder may write. Moves are never combined with other changes, which may be
// combined with each other.
struct ChangeOrder
{
  base::ServiceId service;
  base::ServerId server;
  base::Generation generation;
  std::vector<MoveOrder> moves;
  std::vector<SuccessorOrder> successors;
  // Overrides of keys that are no longer hot, which are merged back into their home shards.
  std::vector<base::ShardId> merges;
  // Empty if the voters are unchanged.
  std::vector<base::VmId> voters;
};

} // namespace sycamore::control

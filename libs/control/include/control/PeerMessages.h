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

// A tenancy that the sender of a heartbeat holds.
struct HeldTenancy
{
  base::ServerId server;
  base::ServiceId service;
  base::Term term;
  ownership::LeaseKind kind = ownership::LeaseKind::Active;
  // The server says that it takes no new work.
  bool draining = false;
  // The server has accepted a grant of this term lately.
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
  std::vector<HeldTenancy> held;
  std::string configDigest;
  std::map<base::ServiceId, base::Generation> maps;
  std::uint64_t quarantineDigest = 0;
};

// Body of /peer/vote: all requests of one VM to another.
struct VoteBatch
{
  base::VmId from;
  std::vector<ownership::VoteRequest> requests;
  std::vector<ownership::VoterStateRequest> learn;

  bool empty() const { return requests.empty() && learn.empty(); }
};

// Answer to a VoteBatch.
struct VoteBatchReply
{
  std::vector<ownership::VoteReply> replies;
  std::vector<ownership::VoterStateReply> learned;
};

// Body of /peer/permit: the servers held by the sender that could inherit shards.
struct PermitQuery
{
  base::VmId from;
  std::vector<base::ServerId> servers;
};

// One planned move of a shard, as the planner asks the holder of its server for it.
struct MoveOrder
{
  base::ShardId shard;
  base::ServerId to;
  // Empty for none.
  base::ServerId successor;
};

// One change of a shard's recorded successor.
struct SuccessorOrder
{
  base::ShardId shard;
  // Empty for none.
  base::ServerId successor;
};

// Body of /peer/move: changes of a server's shards, their successors or its voters, which only its
// holder may write. Moves come alone; the others may come together.
struct ChangeOrder
{
  base::ServiceId service;
  base::ServerId server;
  base::Generation generation;
  std::vector<MoveOrder> moves;
  std::vector<SuccessorOrder> successors;
  // Overrides of cooled keys that return to their shards.
  std::vector<base::ShardId> merges;
  // Empty: the voters stay.
  std::vector<base::VmId> voters;
};

} // namespace sycamore::control

#pragma once

#include <ownership/ChangeKind.h>
#include <ownership/ReleaseRequest.h>
#include <ownership/VoteRequest.h>

#include <variant>
#include <vector>

namespace sycamore::ownership {

// Send the request to the entry VM `to`, which may be this VM itself, in a batch with other
// requests to the same VM.
struct SendVote
{
  base::VmId to;
  VoteRequest request;
};

// Send a grant. Obtain the request from grantToSend(term) immediately before it is sent.
struct SendGrant
{
  base::Term term;
};

struct SendRelease
{
  ReleaseRequest request;
};

// This VM may now grant shards to the server and dispatch to it.
struct BecameHolder
{
  base::Term term;
};

// This VM must stop dispatching at once and refuse the queued requests.
struct LostLease
{
  base::Term term;
};

// The server's shards pass to their successors: permitFor() returns permits from now on. Notify the
// other entry VMs, so that they request them.
struct Evicted
{
  base::Term term;
};

// Write the map now, conditional on generation `base`. Repeat the same write until a generation
// above `base` is seen, and report that generation by onMap(); no other result ends the write.
struct WriteMap
{
  ChangeKind kind = ChangeKind::Move;
  base::Generation base;
  ShardSet shards;
  std::vector<base::VmId> voters;
};

// Obtain a map generation above `base`, because the map is older than the floor of a voter or
// because restarted voters need a map that was written after their start. Read the map; if the
// platform has nothing newer than the map in use, write it unchanged with the next generation.
// Report a newer map by onMap(), and a confirmed write of this VM also by onGenerationAdvanced().
struct AdvanceGeneration
{
  base::Generation base;
};

// The result of a MapChange is known: it is in the row that was passed to onMap().
struct ChangeResolved
{
  ChangeKind kind = ChangeKind::Move;
};

using LeaseAction = std::variant<SendVote,
                                 SendGrant,
                                 SendRelease,
                                 BecameHolder,
                                 LostLease,
                                 Evicted,
                                 WriteMap,
                                 AdvanceGeneration,
                                 ChangeResolved>;
using LeaseActions = std::vector<LeaseAction>;

} // namespace sycamore::ownership

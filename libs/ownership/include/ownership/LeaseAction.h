#pragma once

#include <ownership/ChangeKind.h>
#include <ownership/ReleaseRequest.h>
#include <ownership/VoteRequest.h>

#include <variant>
#include <vector>

namespace sycamore::ownership {

// Send the request to this entry VM (the own one included), batched with others to the same VM.
struct SendVote
{
  base::VmId to;
  VoteRequest request;
};

// A grant is due. Ask grantToSend(term) immediately before it is sent.
struct SendGrant
{
  base::Term term;
};

struct SendRelease
{
  ReleaseRequest request;
};

// This VM may now grant and dispatch.
struct BecameHolder
{
  base::Term term;
};

// This VM must stop dispatching at once and refuse what is queued.
struct LostLease
{
  base::Term term;
};

// The server's shards pass to their successors: permits() gives permits from now on. Push the hint.
struct Evicted
{
  base::Term term;
};

// Write the map now, conditional on generation `base`. Repeat the same write until a generation
// above base is seen, and report that by onMap(); no other result counts.
struct WriteMap
{
  ChangeKind kind = ChangeKind::Move;
  base::Generation base;
  ShardSet shards;
  std::vector<base::VmId> voters;
};

// The map is older than this floor, or voters need a map written after they started. Read the map;
// if the platform has nothing newer than the map in use, write it unchanged with the next
// generation. Report a newer map by onMap(), a confirmed own write also by onGenerationAdvanced().
struct AdvanceGeneration
{
  base::Generation base;
};

// The result of a MapChange is known; the row given to onMap() says which.
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

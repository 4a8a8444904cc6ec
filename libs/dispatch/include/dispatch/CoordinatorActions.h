#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/BackendServer.h>
#include <dispatch/HandoverToken.h>
#include <dispatch/OwnershipRecord.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::dispatch {

// Call that grants a range of keys to a server, or renews the grant.
struct GrantOrder
{
  base::ServiceId service;
  KeyNumber from = 0;
  KeyNumber to = 0;
  std::uint64_t fence = 0;
  BackendServer server;
  // Token from the previous owner's answer to the release; empty if there is none.
  HandoverToken handover;
  // Time from which on the call must not be sent any more.
  base::TimePoint sendBy{};
};

// Call that asks a server to release a range of keys.
struct ReleaseOrder
{
  base::ServiceId service;
  KeyNumber from = 0;
  KeyNumber to = 0;
  std::uint64_t fence = 0;
  BackendServer server;
};

// Why keys could be given to another owner.
enum class KeysFreedBy
{
  // They had no owner before.
  NoOwner,
  // The owner has answered a release, and no unanswered grant could take effect any more.
  Release,
  // All grants to the owner had expired.
  Expiry,
  // Another server answers at the owner's address.
  ProcessEnd
};

// How the grant to the previous owner ended that expired last, whatever its keys.
enum class LastGrant
{
  // This VM sent none.
  OfPredecessor,
  Answered,
  Unanswered
};

// A range that gets another owner, for the log.
struct OwnerChange
{
  base::ServiceId service;
  // The range with its previous owner and that one's fencing token; without an owner if it had
  // none.
  KeyRange previous;
  // The same keys with the next owner.
  KeyRange next;
  KeysFreedBy freedBy = KeysFreedBy::NoOwner;
  // Time from which on the previous owner was taken to hold nothing.
  base::TimePoint freedAt{};
  LastGrant lastGrant = LastGrant::OfPredecessor;
};

// Hot keys that were given to several servers in one step, for the log and the metrics.
struct HotSpanSpread
{
  base::ServiceId service;
  // Lowest and highest key that moves, and the number of all that do.
  KeyNumber from = 0;
  KeyNumber to = 0;
  std::size_t keys = 0;
  // Estimated requests per second on them.
  double rate = 0;
  std::size_t moves = 0;
  // Number of servers that get the keys.
  std::size_t servers = 0;
};

// Calls to servers and writes to the store that are due and that the user of KeyCoordinator
// executes.
struct CoordinatorActions
{
  std::vector<GrantOrder> grants;
  std::vector<ReleaseOrder> releases;
  // Changes that take effect with the next written record.
  std::vector<OwnerChange> ownerChanges;
  // Moves that have begun with this call.
  std::vector<HotSpanSpread> spreads;
  // Whether the record has changed. It must be written before the changes take effect.
  bool mustWriteRecord = false;
};

enum class GrantAnswer
{
  Accepted,
  // The server has already seen a higher fencing token.
  Superseded,
  // Another server answers at the address.
  OtherServer,
  // No connection: the server hasn't received the grant.
  NotSent,
  // Not sent either, though the server answers: it ended the connection before.
  ConnectionEnded,
  // Sent, but without a readable answer: the grant may take effect.
  OutcomeUnknown
};

struct ReleaseAnswer
{
  enum class Kind
  {
    // The server has ended its work on the keys.
    Released,
    // Another server answers at the address.
    OtherServer,
    // No connection: the server hasn't received the release.
    NotSent,
    // Sent, but without an answer that is certain to be the release's own.
    OutcomeUnknown
  };

  Kind kind = Kind::OutcomeUnknown;
  // Token for the next owner; empty if there is none.
  HandoverToken handover = {};
  // Why the server's token was dropped.
  HandoverToken::Defect tokenDefect = HandoverToken::Defect::None;
};

// What a coordinator that stops granting tells its successor.
struct CoordinatorStop
{
  // Time at which it and all coordinators before it have stopped granting.
  base::TimePoint previousCoordinatorsStopAt{};
  // Time at which all its grants without an answer, and theirs, have expired. Until then, a server
  // may take such a grant also after it has released the keys.
  base::TimePoint unansweredGrantsExpireAt{};
};

} // namespace sycamore::dispatch

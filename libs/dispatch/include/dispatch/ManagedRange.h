#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/CoordinatorActions.h>
#include <dispatch/OwnershipRecord.h>
#include <dispatch/RangePlacement.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::dispatch {

// A release uses the next fencing token, so that the server refuses late renewals of the released
// grant. The next owner gets the token after that.
inline constexpr std::uint64_t kReleaseStep = 1;
inline constexpr std::uint64_t kOwnerStep = 2;

// State of a range of keys at its coordinator.
enum class RangePhase
{
  // The owner is granted the range, and the grant is renewed.
  Owned,
  // The owner is asked to release the range.
  Releasing,
  // The owner has released the range, but an unanswered grant may still take effect there.
  Released,
  // No server can hold the range, so that it may be assigned.
  Unowned,
  // A new owner or fencing token has been chosen but isn't yet written to the record.
  AwaitingWrite
};

// A range of keys and what its coordinator is doing with it.
struct ManagedRange
{
  KeyRange range;
  RangePhase phase = RangePhase::Owned;
  base::TimePoint nextCallAt{};
  // Token from the previous owner's answer to the release, for the next grant.
  HandoverToken handover = {};
  // Target of a planned move between live servers.
  std::optional<base::ServerId> target = std::nullopt;
  // Why and since when the range has no owner. Valid in the phase Unowned.
  KeysFreedBy freedBy = KeysFreedBy::NoOwner;
  base::TimePoint freedAt{};
  LastGrant lastGrant = LastGrant::OfPredecessor;
};

// Ranges of one service, sorted, without gaps or overlaps.
using ManagedRanges = std::vector<ManagedRange>;

// Splits the part that moves off its range, and gives it the target. The split changes no owner, so
// that it needs no write of its own.
void startMove(ManagedRanges& ranges, const PlannedMove& move);

// Returns the ranges within the keys `from` to `to` that have this fencing token.
std::vector<ManagedRange*> rangesWithFence(ManagedRanges& ranges,
                                           KeyNumber from,
                                           KeyNumber to,
                                           std::uint64_t fence);

// Returns the ranges as they are written to the record.
KeyRanges keyRanges(const ManagedRanges& ranges);

// Merges adjacent ranges of the same owner into one under a fencing token above both, for which the
// owner needs no release. Returns whether there were any; they then await a write.
bool mergeOwnedRanges(ManagedRanges& ranges);

} // namespace sycamore::dispatch

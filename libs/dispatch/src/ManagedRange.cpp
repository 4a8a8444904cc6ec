#include <dispatch/ManagedRange.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

bool isMergeable(const ManagedRange& left, const ManagedRange& right)
{
  return left.phase == RangePhase::Owned && right.phase == RangePhase::Owned && !left.target &&
         !right.target && left.handover.empty() && right.handover.empty() &&
         left.range.owner == right.range.owner && left.range.born == right.range.born;
}

} // namespace

void startMove(ManagedRanges& ranges, const PlannedMove& move)
{
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    if (move.from < ranges[i].range.from || move.to > ranges[i].range.to) {
      continue;
    }
    if (ranges[i].range.from < move.from) {
      ManagedRange before = ranges[i];
      before.range.to = static_cast<KeyNumber>(move.from - 1);
      ranges[i].range.from = move.from;
      ranges.insert(ranges.begin() + static_cast<std::ptrdiff_t>(i), before);
      ++i;
    }
    if (move.to < ranges[i].range.to) {
      ManagedRange after = ranges[i];
      after.range.from = static_cast<KeyNumber>(move.to + 1);
      ranges[i].range.to = move.to;
      ranges.insert(ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1, after);
    }
    ranges[i].target = move.target;
    return;
  }
}

std::vector<ManagedRange*> rangesWithFence(ManagedRanges& ranges,
                                           KeyNumber from,
                                           KeyNumber to,
                                           std::uint64_t fence)
{
  std::vector<ManagedRange*> result;
  for (ManagedRange& managed : ranges) {
    if (managed.range.from >= from && managed.range.to <= to && managed.range.fence == fence) {
      result.push_back(&managed);
    }
  }
  return result;
}

KeyRanges keyRanges(const ManagedRanges& ranges)
{
  KeyRanges result;
  for (const ManagedRange& managed : ranges) {
    result.push_back(managed.range);
  }
  return result;
}

bool mergeOwnedRanges(ManagedRanges& ranges)
{
  bool hasMerged = false;
  for (std::size_t i = 0; i + 1 < ranges.size(); ++i) {
    ManagedRange& left = ranges[i];
    const ManagedRange& right = ranges[i + 1];
    if (!isMergeable(left, right)) {
      continue;
    }
    left.range.to = right.range.to;
    left.range.fence = std::max(left.range.fence, right.range.fence) + kOwnerStep;
    left.phase = RangePhase::AwaitingWrite;
    hasMerged = true;
    ranges.erase(ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1);
  }
  return hasMerged;
}

} // namespace sycamore::dispatch

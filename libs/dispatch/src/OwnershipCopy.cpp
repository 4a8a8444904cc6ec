#include <dispatch/OwnershipCopy.h>

#include <algorithm>

namespace sycamore::dispatch {

OwnershipCopy::OwnershipCopy(OwnershipCopySettings settings, base::TimePoint now)
  : settings_(settings)
  , lastAnnouncementAt_(now)
{
}

bool OwnershipCopy::onRecordRead(OwnershipRecord record, std::uint64_t revision)
{
  if (revision <= lag_.complete()) {
    return false;
  }
  record_ = std::make_shared<const OwnershipRecord>(std::move(record));
  lag_.advanceComplete(revision);
  return true;
}

bool OwnershipCopy::applyDelta(const OwnershipDelta& delta, base::TimePoint now)
{
  onRevisionAnnounced(delta.revision, now);
  if (!record_ || delta.previous != lag_.complete()) {
    return false;
  }
  if (partsRevision_ != delta.revision) {
    partsRevision_ = delta.revision;
    receivedParts_.clear();
  }
  receivedParts_[delta.part] = delta;
  if (receivedParts_.size() < delta.parts) {
    return false;
  }
  auto changed = std::make_shared<OwnershipRecord>(*record_);
  for (const auto& [number, part] : receivedParts_) {
    for (const auto& [service, ranges] : part.changes) {
      replaceRanges(changed->services[service], ranges);
    }
  }
  receivedParts_.clear();
  changed->coordinator = delta.coordinator;
  changed->epoch = delta.epoch;
  record_ = std::move(changed);
  lag_.advanceComplete(delta.revision);
  return true;
}

void OwnershipCopy::onRevisionAnnounced(std::uint64_t revision, base::TimePoint now)
{
  lastAnnouncementAt_ = now;
  lag_.advanceAnnounced(revision, now);
}

bool OwnershipCopy::beginReadIfDue(base::TimePoint now)
{
  const bool coordinatorUnresponsive = now >= lastAnnouncementAt_ + settings_.coordinatorTimeout;
  const bool urgent = !record_ || lag_.isOverdue(settings_.deltaArrivalTimeout, now);
  const base::Duration interval = urgent ? settings_.urgentReadInterval : settings_.readInterval;
  if ((!urgent && !coordinatorUnresponsive) || now < lastReadAt_ + interval) {
    return false;
  }
  lastReadAt_ = now;
  return true;
}

std::vector<OwnershipDelta> splitDelta(const OwnershipDelta& delta, std::size_t rangesPerPart)
{
  OwnershipDelta empty = delta;
  empty.changes.clear();
  std::vector<OwnershipDelta> parts{ empty };
  std::size_t ranges = 0;
  for (const auto& [service, changed] : delta.changes) {
    for (const KeyRange& range : changed) {
      if (ranges == rangesPerPart) {
        parts.push_back(empty);
        ranges = 0;
      }
      parts.back().changes[service].push_back(range);
      ++ranges;
    }
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].part = static_cast<unsigned>(i);
    parts[i].parts = static_cast<unsigned>(parts.size());
  }
  return parts;
}

void replaceRanges(KeyRanges& ranges, const KeyRanges& changes)
{
  for (const KeyRange& change : changes) {
    splitRange(ranges, change.from);
    if (change.to < kLastKey) {
      splitRange(ranges, static_cast<KeyNumber>(change.to + 1));
    }
    std::erase_if(ranges, [&](const KeyRange& range) {
      return range.from >= change.from && range.to <= change.to;
    });
    const auto after = std::find_if(
      ranges.begin(), ranges.end(), [&](const KeyRange& range) { return range.from > change.to; });
    ranges.insert(after, change);
  }
  mergeAdjacentRanges(ranges);
}

} // namespace sycamore::dispatch

#include <dispatch/OwnershipCopy.h>

#include <algorithm>

namespace sycamore::dispatch {

OwnershipCopy::OwnershipCopy(OwnershipCopySettings settings, base::TimePoint now)
  : settings_(settings)
  , lastWord_(now)
{
}

bool OwnershipCopy::noteRecord(OwnershipRecord record, std::uint64_t revision)
{
  if (revision <= lag_.complete()) {
    return false;
  }
  record_ = std::make_shared<const OwnershipRecord>(std::move(record));
  lag_.noteComplete(revision);
  return true;
}

bool OwnershipCopy::noteDelta(const OwnershipDelta& delta, base::TimePoint now)
{
  noteRevision(delta.revision, now);
  if (!record_ || delta.previous != lag_.complete()) {
    return false;
  }
  auto changed = std::make_shared<OwnershipRecord>(*record_);
  for (const auto& [service, ranges] : delta.changes) {
    replaceRanges(changed->services[service], ranges);
  }
  changed->coordinator = delta.coordinator;
  changed->epoch = delta.epoch;
  record_ = std::move(changed);
  lag_.noteComplete(delta.revision);
  return true;
}

void OwnershipCopy::noteRevision(std::uint64_t revision, base::TimePoint now)
{
  lastWord_ = now;
  lag_.noteAnnounced(revision, now);
}

bool OwnershipCopy::shouldRead(base::TimePoint now)
{
  const bool silent = now >= lastWord_ + settings_.silence;
  const bool urgent = !record_ || lag_.isOverdue(settings_.deltaTime, now);
  const base::Duration interval = urgent ? settings_.urgentInterval : settings_.readInterval;
  if ((!urgent && !silent) || now < lastRead_ + interval) {
    return false;
  }
  lastRead_ = now;
  return true;
}

void replaceRanges(KeyRanges& ranges, const KeyRanges& changes)
{
  for (const KeyRange& change : changes) {
    cutRange(ranges, change.from);
    if (change.to < kLastKey) {
      cutRange(ranges, static_cast<KeyNumber>(change.to + 1));
    }
    std::erase_if(ranges, [&](const KeyRange& range) {
      return range.from >= change.from && range.to <= change.to;
    });
    const auto after = std::find_if(
      ranges.begin(), ranges.end(), [&](const KeyRange& range) { return range.from > change.to; });
    ranges.insert(after, change);
  }
  mergeNeighbours(ranges);
}

} // namespace sycamore::dispatch

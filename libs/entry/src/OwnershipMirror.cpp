#include <entry/OwnershipMirror.h>

#include <entry/SteadyTime.h>

#include <dispatch/StoreRevision.h>
#include <dispatch/Takeover.h>
#include <wire/WireError.h>

#include <utility>

namespace sycamore::entry {

OwnershipMirror::OwnershipMirror(StoreClient& store, EventLog& log, ChangedListener changedListener)
  : store_(store)
  , log_(log)
  , changedListener_(std::move(changedListener))
  , copy_({}, clockNow())
{
}

void OwnershipMirror::adopt(dispatch::OwnershipRecord record, std::uint64_t revision)
{
  // The owners of the own copy are newer than those of a record that the store brought back.
  if (copy_.record() && dispatch::isFromBeforeRestoration(record, dispatch::eraOf(revision))) {
    return;
  }
  if (copy_.onRecordRead(std::move(record), revision)) {
    changedListener_();
  }
}

void OwnershipMirror::onDelta(const dispatch::OwnershipDelta& delta, base::TimePoint now)
{
  if (copy_.applyDelta(delta, now)) {
    changedListener_();
  }
}

// If the record is known to have changed, a possibly outdated replica of the store is enough as
// long as it has the change; otherwise onRead() reads the current one.
void OwnershipMirror::tick(base::TimePoint now)
{
  if (copy_.beginReadIfDue(now) && store_.mayCall(now)) {
    read(copy_.isBehind() ? wire::ReadConsistency::StaleAllowed : wire::ReadConsistency::Current);
  }
}

void OwnershipMirror::read(wire::ReadConsistency reading)
{
  store_.read(wire::Kind::Ownership,
              wire::kOwnershipName,
              reading,
              [this, reading](const StoreAnswer& answer) { onRead(answer, reading); });
}

void OwnershipMirror::onRead(const StoreAnswer& answer, wire::ReadConsistency reading)
{
  if (answer.outcome == StoreOutcome::Done) {
    try {
      adoptObject(answer, reading);
    } catch (const base::Error& error) {
      log_.write("ownership_unreadable", { { "error", error.what() } });
    }
  }
  if (reading == wire::ReadConsistency::StaleAllowed && store_.reachable() && copy_.isBehind()) {
    read(wire::ReadConsistency::Current);
  }
}

// Throws base::Error if the answer holds no readable record.
void OwnershipMirror::adoptObject(const StoreAnswer& answer, wire::ReadConsistency reading)
{
  const wire::StoreObject object = wire::readObject(answer.body, answer.era);
  // A replica may return a record that is older than the announced one. Without a copy, as after a
  // start, such a record would bring back owners that have lost their keys since.
  const bool isOutdated =
    reading == wire::ReadConsistency::StaleAllowed && object.revision < copy_.announcedRevision();
  if (!isOutdated) {
    adopt(dispatch::readOwnershipRecord(wire::ownContent(object)), object.revision);
  }
}

} // namespace sycamore::entry

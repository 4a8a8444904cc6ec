#include <entry/ObjectMirror.h>

#include <entry/SteadyTime.h>

#include <algorithm>
#include <utility>

namespace sycamore::entry {

namespace {

// Duration of a watch for changes that are known to exist.
constexpr std::chrono::milliseconds kCatchUpWatchDuration{ 100 };
// Delay between a list and the first watch of a VM that doesn't relay: the relaying VM is usually
// heard before, so that hundreds of watches aren't needed.
constexpr std::chrono::milliseconds kFollowerWatchDelay{ 800 };
// Interval between two checks whether the store may be called again.
constexpr std::chrono::milliseconds kProbeInterval{ 100 };
// Delay after which the revision of a watch without events is used. The store's watches may miss
// changes for about a second before the store ends them.
constexpr base::Duration kCursorTrustDelay = std::chrono::seconds(5);
// Time after the first failed list from which on the pages of an incomplete one are used. Most
// failures of the store end sooner, and an object that is only missing would count as deleted.
constexpr base::Duration kPagesUseDelay = std::chrono::seconds(2);

std::int64_t toMilliseconds(base::Duration duration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Returns whether a listed object needs no message to the other VMs. After the store came back,
// objects that have not changed have revisions of the new era.
bool isSameState(const wire::StoreObject& known, const wire::StoreObject& listed)
{
  const bool isSameEra = dispatch::eraOf(known.revision) == dispatch::eraOf(listed.revision);
  return isSameEra ? known.revision == listed.revision : known.json == listed.json;
}

} // namespace

ObjectMirror::ObjectMirror(asio::io_context& context,
                           StoreClient& store,
                           EventLog& log,
                           MirrorSettings settings,
                           ObjectsChangedListener objectsChangedListener,
                           ChangeReadListener changeReadListener)
  : store_(store)
  , log_(log)
  , settings_(settings)
  , objectsChangedListener_(std::move(objectsChangedListener))
  , changeReadListener_(std::move(changeReadListener))
  , timer_(context)
  , random_(settings.seed)
  , listPages_({})
  , cursor_(kCursorTrustDelay)
  , relayedCopy_({})
  , freshness_({})
  , restorationGrace_({})
  , retry_({})
{
}

void ObjectMirror::start()
{
  list();
}

void ObjectMirror::tick(bool isRelay, bool isStandby, base::TimePoint now)
{
  isRelay_ = isRelay;
  relayedCopy_.setStandby(isStandby);
  if (activity_ != Activity::Following) {
    return;
  }
  const bool mustList = isOutdated_ || restorationGrace_.takeDueList(now);
  if (isRelay_ || mustList || relayedCopy_.mustWatchStore(now)) {
    list();
  } else if (relayedCopy_.isReadDue(now) && store_.mayCall(now)) {
    relayedCopy_.beginReadIfDue(now);
    catchUp();
  }
}

// Reads what has changed after a message was lost.
void ObjectMirror::catchUp()
{
  catchUpBeganAt_ = clockNow();
  log_.write("change_missed",
             { { "kind", static_cast<int>(settings_.kind) },
               { "complete", relayedCopy_.completeRevision() },
               { "announced", relayedCopy_.announcedRevision() } });
  if (settings_.catchUp == CatchUp::CurrentState || historyReadFailed_) {
    list();
  } else {
    readHistory();
  }
}

// Reads the changes since the last complete revision. If the store returns none, its history may be
// gone and all objects are listed.
void ObjectMirror::readHistory()
{
  activity_ = Activity::ReadingHistory;
  cursor_.onListed(relayedCopy_.completeRevision());
  // The first read for an announced revision may be outdated; a repeated one must be current.
  const wire::ReadConsistency reading = relayedCopy_.announcedRevision() > requestedRevision_
                                          ? wire::ReadConsistency::StaleAllowed
                                          : wire::ReadConsistency::Current;
  requestedRevision_ = relayedCopy_.announcedRevision();
  store_.watch(settings_.kind,
               relayedCopy_.completeRevision(),
               kCatchUpWatchDuration,
               reading,
               [this, reading](const StoreAnswer& answer) { onHistoryRead(answer, reading); });
}

void ObjectMirror::onHistoryRead(const StoreAnswer& answer, wire::ReadConsistency reading)
{
  const std::uint64_t before = lastChangeRevision_;
  historyReadFailed_ = answer.outcome != StoreOutcome::Done;
  onWatch(answer);
  if (lastChangeRevision_ != before || activity_ != Activity::Following) {
    return;
  }
  if (reading == wire::ReadConsistency::StaleAllowed) {
    catchUp();
  } else {
    list();
  }
}

void ObjectMirror::onRelayAnnouncement(std::uint64_t revision, base::TimePoint now)
{
  relayedCopy_.onRelayAnnouncement(revision, now);
}

// A copy that still lacks the change is shown current by a later announcement.
void ObjectMirror::onRelayShownCurrent(std::uint64_t revision, base::TimePoint at)
{
  if (relayedCopy_.completeRevision() >= revision && !isOutdated_) {
    relayedCurrentAt_ = std::max(relayedCurrentAt_, at);
  }
}

void ObjectMirror::onChangePart(const ObjectChange& change)
{
  const base::Duration behind = relayedCopy_.timeBehind(clockNow());
  if (!hasBasisOf(change.patches) || !relayedCopy_.onChangePart(change.part)) {
    return;
  }
  bool changed = false;
  for (const wire::WatchEvent& event : change.events) {
    changed = apply(event) || changed;
  }
  if (patchesRevision_ != change.part.revision) {
    patchesRevision_ = change.part.revision;
    pendingPatches_.clear();
  }
  pendingPatches_[change.part.part] = change.patches;
  if (relayedCopy_.completeRevision() >= change.part.revision) {
    changed = applyPendingPatches() || changed;
  }
  lastChangeRevision_ = std::max(lastChangeRevision_, change.part.revision);
  if (changed) {
    logUpdate("relay", behind);
    notifyObjectsChanged();
  }
}

bool ObjectMirror::hasBasisOf(const std::vector<ObjectPatch>& patches) const
{
  return std::ranges::all_of(patches, [this](const ObjectPatch& patch) {
    const auto known = objects_.find(patch.name);
    return known != objects_.end() &&
           (known->second.revision == patch.previous || known->second.revision >= patch.revision);
  });
}

bool ObjectMirror::applyPendingPatches()
{
  std::map<std::string, std::vector<ObjectPatch>> patchesByObject;
  for (const auto& [part, patches] : pendingPatches_) {
    for (const ObjectPatch& patch : patches) {
      const auto known = objects_.find(patch.name);
      if (known != objects_.end() && known->second.revision == patch.previous) {
        patchesByObject[patch.name].push_back(patch);
      }
    }
  }
  pendingPatches_.clear();
  bool changed = false;
  for (const auto& [name, patches] : patchesByObject) {
    try {
      changed = apply({ applyPatches(objects_.at(name), patches), false }) || changed;
    } catch (const wire::WireError& error) {
      log_.write("change_unreadable", { { "error", error.what() } });
      isOutdated_ = true;
    }
  }
  return changed;
}

void ObjectMirror::keepReplaced(const wire::WatchEvent& event)
{
  const auto known = objects_.find(event.object.name);
  if (isRelay_ && known != objects_.end()) {
    replaced_.try_emplace(event.object.name, known->second);
  }
}

void ObjectMirror::list()
{
  activity_ = Activity::Listing;
  listedObjects_.clear();
  listRevision_ = 0;
  listBeganAt_ = clockNow();
  listPages_.begin(listBeganAt_);
  readPage();
}

void ObjectMirror::readPage()
{
  store_.list(settings_.kind,
              listPages_.after(),
              wire::ReadConsistency::Current,
              [this](const StoreAnswer& answer) { onPage(answer); });
}

void ObjectMirror::onPage(const StoreAnswer& answer)
{
  logCatchUp(answer);
  if (answer.outcome != StoreOutcome::Done) {
    logUnanswered("list", answer);
    onListFailure("the store didn't return the page", answer.timedOut);
    return;
  }
  wire::ListPage page;
  try {
    page = wire::readList(answer.body, answer.era);
  } catch (const wire::WireError& error) {
    logUnreadable(error);
    onListFailure("the page can't be read", false);
    return;
  }
  logUnreadable(page.unreadable);
  listRevision_ = listRevision_ == 0 ? page.revision : listRevision_;
  if (dispatch::eraOf(page.revision) != dispatch::eraOf(listRevision_)) {
    list();
    return;
  }
  for (wire::StoreObject& object : page.items) {
    listedObjects_[object.name] = std::move(object);
  }
  const dispatch::ListStep step = listPages_.onPage(page.hasMore, page.last, clockNow());
  if (step == dispatch::ListStep::ReadNext) {
    readPage();
  } else if (step == dispatch::ListStep::Complete) {
    onListed();
  } else {
    onListFailure(dispatch::toText(step), false);
  }
}

void ObjectMirror::onListed()
{
  onStoreReached();
  const bool wasCatchingUp = std::exchange(catchUpBeganAt_, std::nullopt).has_value();
  historyReadFailed_ = false;
  isOutdated_ = false;
  listFailingSince_.reset();
  // Messages that arrived during the list may have brought newer objects.
  if (listRevision_ >= lastChangeRevision_) {
    adoptList(wasCatchingUp ? "catch_up" : "list");
  }
  freshness_.onShownCurrent(listBeganAt_);
  cursor_.onListed(listRevision_);
  continueWatching(isRelay_ ? settings_.settleDelay : kFollowerWatchDelay);
}

void ObjectMirror::onListFailure(const char* reason, bool timedOut)
{
  const base::TimePoint now = clockNow();
  listFailingSince_ = listFailingSince_.value_or(now);
  if (!listedObjects_.empty()) {
    log_.write("list_incomplete",
               { { "kind", static_cast<int>(settings_.kind) },
                 { "reason", reason },
                 { "pages", listPages_.pages() },
                 { "objects", listedObjects_.size() } });
    if (now >= *listFailingSince_ + kPagesUseDelay) {
      pagesInUse_ = std::move(listedObjects_);
      listedObjects_.clear();
      notifyObjectsChanged();
    }
  }
  onStoreFailure(timedOut);
}

// Adds what the pages of an incomplete list show. What they lack may exist nevertheless.
ObjectMirror::Objects ObjectMirror::objectsWithPages() const
{
  Objects objects = objects_;
  for (const auto& [name, object] : pagesInUse_) {
    const auto known = objects.find(name);
    const bool isOutdated = known != objects.end()
                              ? object.revision <= known->second.revision
                              : deletedObjects_.isOutdated(name, object.revision);
    if (!isOutdated) {
      objects[name] = object;
    }
  }
  return objects;
}

void ObjectMirror::notifyObjectsChanged()
{
  if (pagesInUse_.empty()) {
    objectsChangedListener_(objects_);
  } else {
    objectsChangedListener_(objectsWithPages());
  }
}

void ObjectMirror::adoptList(const char* path)
{
  const base::TimePoint now = clockNow();
  const base::Duration behind = relayedCopy_.timeBehind(now);
  restorationGrace_.onListed(listRevision_, now);
  std::vector<wire::WatchEvent> events;
  for (auto& [name, object] : listedObjects_) {
    const auto known = objects_.find(name);
    if (known != objects_.end() && isSameState(known->second, object)) {
      object.revision = known->second.revision;
    } else {
      events.push_back({ object, false });
      keepReplaced(events.back());
    }
  }
  for (const auto& [name, object] : objects_) {
    if (listedObjects_.contains(name)) {
      continue;
    }
    if (restorationGrace_.keepsMissing(now)) {
      listedObjects_[name] = object;
    } else {
      events.push_back({ object, true });
    }
  }
  objects_ = std::move(listedObjects_);
  const bool hadPages = !std::exchange(pagesInUse_, {}).empty();
  relayedCopy_.onRead(listRevision_);
  deletedObjects_.onListed(listRevision_);
  if (!events.empty() || hadPages || lastChangeRevision_ == 0) {
    logUpdate(path, behind);
    publishChange(std::move(events), listRevision_);
  }
}

void ObjectMirror::watch()
{
  activity_ = Activity::Watching;
  store_.watch(settings_.kind,
               cursor_.startRevision(clockNow()),
               settings_.watchDuration,
               wire::ReadConsistency::Current,
               [this](StoreAnswer answer) { onWatch(answer); });
}

void ObjectMirror::onWatch(const StoreAnswer& answer)
{
  logCatchUp(answer);
  const bool wasCatchingUp = std::exchange(catchUpBeganAt_, std::nullopt).has_value();
  if (answer.outcome == StoreOutcome::HistoryGone) {
    log_.write("store_history_gone", { { "kind", static_cast<int>(settings_.kind) } });
    list();
    return;
  }
  if (answer.outcome != StoreOutcome::Done) {
    logUnanswered("watch", answer);
    onStoreFailure(answer.timedOut);
    return;
  }
  std::vector<wire::WatchEvent> events;
  try {
    const wire::WatchPage page = wire::readEvents(answer.body, answer.era);
    logUnreadable(page.unreadable);
    for (const wire::WatchEvent& event : page.events) {
      keepReplaced(event);
      if (apply(event)) {
        events.push_back(event);
      }
    }
    cursor_.onWatchEnded(page.revision, !page.events.empty(), clockNow());
    if (!events.empty()) {
      logUpdate(wasCatchingUp ? "catch_up" : "watch", relayedCopy_.timeBehind(clockNow()));
      relayedCopy_.onRead(page.revision);
      publishChange(std::move(events), page.revision);
      recordFreshness(answer, page);
      onStoreReached();
      continueWatching(settings_.settleDelay);
      return;
    }
    recordFreshness(answer, page);
  } catch (const wire::WireError& error) {
    logUnreadable(error);
    onStoreFailure(false);
    return;
  }
  onStoreReached();
  continueWatching(std::chrono::milliseconds(0));
}

void ObjectMirror::recordFreshness(const StoreAnswer& answer, const wire::WatchPage& page)
{
  // The read of a missing change may have been answered by a replica that lags.
  if (activity_ != Activity::Watching) {
    return;
  }
  const base::Duration waited =
    page.events.empty() ? std::min<base::Duration>(settings_.watchDuration, answer.elapsed)
                        : base::Duration::zero();
  freshness_.onShownCurrent(clockNow() - answer.elapsed + waited);
}

// Notifies the listeners of a change that was read from the store.
void ObjectMirror::publishChange(std::vector<wire::WatchEvent> events, std::uint64_t revision)
{
  const ObjectChange change{ settings_.kind,
                             { lastChangeRevision_, revision, 0, 1 },
                             std::move(events),
                             {},
                             std::exchange(replaced_, {}) };
  lastChangeRevision_ = std::max(lastChangeRevision_, revision);
  notifyObjectsChanged();
  changeReadListener_(change);
}

void ObjectMirror::logUpdate(const char* path, base::Duration behind)
{
  // Servers change many times a second; what changes is logged for each.
  if (settings_.kind == wire::Kind::Servers) {
    return;
  }
  log_.write("copy_updated",
             { { "kind", static_cast<int>(settings_.kind) },
               { "path", path },
               { "behind_ms", toMilliseconds(behind) },
               { "shown_current_ms", toMilliseconds(freshness_.age(clockNow())) } });
}

void ObjectMirror::logUnanswered(const char* call, const StoreAnswer& answer)
{
  if (!answer.timedOut) {
    return;
  }
  log_.write("store_call_unanswered",
             { { "kind", static_cast<int>(settings_.kind) },
               { "call", call },
               { "elapsed_ms", toMilliseconds(answer.elapsed) },
               { "connection_age_ms", toMilliseconds(answer.connectionAge) },
               { "idle_closed", answer.idleClosed },
               { "other_answer_ms", toMilliseconds(clockNow() - store_.lastAnswerAt()) } });
}

void ObjectMirror::logCatchUp(const StoreAnswer& answer) const
{
  if (!catchUpBeganAt_) {
    return;
  }
  log_.write("change_read",
             { { "kind", static_cast<int>(settings_.kind) },
               { "outcome", static_cast<int>(answer.outcome) },
               { "bytes", answer.body.size() },
               { "elapsed_ms", toMilliseconds(clockNow() - *catchUpBeganAt_) } });
}

void ObjectMirror::onStoreReached()
{
  retry_.onAnswered();
  if (!storeReachable_) {
    storeReachable_ = true;
    log_.write("store_regained", { { "kind", static_cast<int>(settings_.kind) } });
  }
}

// Continues to watch, or leaves watching to the relaying VM.
void ObjectMirror::continueWatching(std::chrono::milliseconds delay)
{
  if (!isRelay_ && !relayedCopy_.mustWatchStore(clockNow())) {
    activity_ = Activity::Following;
    return;
  }
  if (restorationGrace_.takeDueList(clockNow())) {
    list();
    return;
  }
  if (delay.count() == 0) {
    watch();
    return;
  }
  activity_ = Activity::Settling;
  timer_.expires_after(delay);
  timer_.async_wait([this](const error_code& error) {
    if (!error) {
      continueWatching(std::chrono::milliseconds(0));
    }
  });
}

bool ObjectMirror::apply(const wire::WatchEvent& event)
{
  const auto found = objects_.find(event.object.name);
  const bool known = found != objects_.end();
  if (known && event.object.revision < found->second.revision) {
    return false;
  }
  if (event.deleted) {
    deletedObjects_.onDeleted(
      event.object.name,
      std::max(event.object.revision, known ? found->second.revision : event.object.revision));
    const bool wasOnPage = pagesInUse_.erase(event.object.name) > 0;
    return objects_.erase(event.object.name) > 0 || wasOnPage;
  }
  if (!known && deletedObjects_.isOutdated(event.object.name, event.object.revision)) {
    return false;
  }
  if (known && event.object.revision == found->second.revision) {
    return false;
  }
  objects_[event.object.name] = event.object;
  return true;
}

void ObjectMirror::logUnreadable(std::size_t objects)
{
  if (objects > 0) {
    log_.write("store_objects_unreadable",
               { { "kind", static_cast<int>(settings_.kind) }, { "objects", objects } });
  }
}

void ObjectMirror::logUnreadable(const wire::WireError& error)
{
  log_.write("store_answer_unreadable", { { "error", error.what() } });
}

// Lists all objects again after a delay: a store that ends watches may have dropped changes without
// reporting it.
void ObjectMirror::onStoreFailure(bool timedOut)
{
  if (storeReachable_) {
    storeReachable_ = false;
    log_.write("store_lost", { { "kind", static_cast<int>(settings_.kind) } });
  }
  catchUpBeganAt_.reset();
  const double random = std::uniform_real_distribution<double>(0, 1)(random_);
  scheduleList(std::chrono::duration_cast<std::chrono::milliseconds>(
    retry_.delayAfterFailure(timedOut, random)));
}

// While the store doesn't answer, one of the mirrors calls it and the others wait. A copy that the
// relaying VM keeps up to date needs no call.
void ObjectMirror::scheduleList(std::chrono::milliseconds delay)
{
  activity_ = Activity::AwaitingRetry;
  timer_.expires_after(delay);
  timer_.async_wait([this](const error_code& error) {
    if (error) {
      return;
    }
    const base::TimePoint now = clockNow();
    if (!isRelay_ && !relayedCopy_.mustWatchStore(now)) {
      activity_ = Activity::Following;
      listFailingSince_.reset();
    } else if (store_.mayCall(now)) {
      list();
    } else {
      scheduleList(kProbeInterval);
    }
  });
}

} // namespace sycamore::entry

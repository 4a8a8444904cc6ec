#include <entry/ObjectMirror.h>

#include <entry/SteadyTime.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

// Pause before the first new try after a failure. It doubles up to the longest, and is shortened by
// chance so that entry VMs don't call together.
constexpr std::chrono::milliseconds kFirstPause{ 100 };
constexpr std::chrono::milliseconds kLongestPause{ 800 };
// Wait of a watch for changes that are known to exist.
constexpr std::chrono::milliseconds kCatchUpWait{ 100 };
// Pause before the next look whether the store may be asked again.
constexpr std::chrono::milliseconds kProbePause{ 100 };
// The store's watches may miss changes for about a second before they are cut.
constexpr base::Duration kTrustAfter = std::chrono::seconds(5);

} // namespace

ObjectMirror::ObjectMirror(asio::io_context& context,
                           StoreClient& store,
                           EventLog& log,
                           MirrorSettings settings,
                           Changed changed,
                           Found found)
  : store_(store)
  , log_(log)
  , settings_(settings)
  , changed_(std::move(changed))
  , found_(std::move(found))
  , timer_(context)
  , random_(settings.seed)
  , cursor_(kTrustAfter)
  , copy_({})
{
}

void ObjectMirror::start()
{
  list("");
}

void ObjectMirror::tick(bool relays, base::TimePoint now)
{
  relays_ = relays;
  if (busy_) {
    return;
  }
  if (relays_ || copy_.mustWatchStore(now)) {
    list("");
  } else if (copy_.beginReadIfDue(now) && store_.mayAsk(now)) {
    catchUp();
  }
}

// A message was lost. What changed since the copy was complete is less than all objects; if the
// store tells of nothing, its history may be gone.
void ObjectMirror::catchUp()
{
  busy_ = true;
  log_.write("change_missed",
             { { "kind", static_cast<int>(settings_.kind) },
               { "complete", copy_.completeRevision() },
               { "announced", copy_.announcedRevision() } });
  cursor_.onListed(copy_.completeRevision());
  // The first read of a change may be old; if it is, the next one must not be.
  const wire::ReadConsistency reading = copy_.announcedRevision() > askedFor_
                                          ? wire::ReadConsistency::StaleAllowed
                                          : wire::ReadConsistency::Current;
  askedFor_ = copy_.announcedRevision();
  store_.watch(settings_.kind,
               copy_.completeRevision(),
               kCatchUpWait,
               reading,
               [this, reading](const StoreAnswer& answer) { onCaughtUp(answer, reading); });
}

void ObjectMirror::onCaughtUp(const StoreAnswer& answer, wire::ReadConsistency reading)
{
  const std::uint64_t before = changedAt_;
  onWatch(answer);
  if (changedAt_ != before || busy_) {
    return;
  }
  if (reading == wire::ReadConsistency::StaleAllowed) {
    catchUp();
  } else {
    list("");
  }
}

void ObjectMirror::noteRelay(std::uint64_t revision, base::TimePoint now)
{
  copy_.onRelayAnnouncement(revision, now);
}

void ObjectMirror::noteChange(const ObjectChange& change)
{
  if (!copy_.onChangePart(change.part)) {
    return;
  }
  bool changed = false;
  for (const wire::WatchEvent& event : change.events) {
    changed = apply(event) || changed;
  }
  changedAt_ = std::max(changedAt_, change.part.revision);
  if (changed) {
    changed_(objects_);
  }
}

void ObjectMirror::list(const std::string& after)
{
  busy_ = true;
  if (after.empty()) {
    watching_ = false;
    listed_.clear();
    listRevision_ = 0;
  }
  store_.list(settings_.kind, after, [this](StoreAnswer answer) { onList(answer); });
}

void ObjectMirror::onList(const StoreAnswer& answer)
{
  if (answer.outcome != StoreOutcome::Done) {
    retry();
    return;
  }
  try {
    wire::ListPage page = wire::readList(answer.body);
    listRevision_ = listRevision_ == 0 ? page.revision : listRevision_;
    std::string last;
    for (wire::StoreObject& object : page.items) {
      last = object.name;
      listed_[object.name] = std::move(object);
    }
    if (page.hasMore && !last.empty()) {
      list(last);
      return;
    }
  } catch (const wire::WireError& error) {
    onUnreadable(error);
    return;
  }
  noteReached();
  // Messages that came meanwhile may have brought newer objects.
  if (listRevision_ >= changedAt_) {
    adoptList();
  }
  cursor_.onListed(listRevision_);
  watching_ = true;
  follow(settings_.rest);
}

void ObjectMirror::adoptList()
{
  std::vector<wire::WatchEvent> events;
  for (const auto& [name, object] : listed_) {
    const auto known = objects_.find(name);
    if (known == objects_.end() || known->second.revision != object.revision) {
      events.push_back({ object, false });
    }
  }
  for (const auto& [name, object] : objects_) {
    if (!listed_.contains(name)) {
      events.push_back({ object, true });
    }
  }
  objects_ = std::move(listed_);
  copy_.onRead(listRevision_);
  if (!events.empty() || changedAt_ == 0) {
    report(std::move(events), listRevision_);
  }
}

void ObjectMirror::watch()
{
  store_.watch(settings_.kind,
               cursor_.startRevision(clockNow()),
               settings_.wait,
               wire::ReadConsistency::Current,
               [this](StoreAnswer answer) { onWatch(answer); });
}

void ObjectMirror::onWatch(const StoreAnswer& answer)
{
  if (answer.outcome == StoreOutcome::HistoryGone) {
    log_.write("store_history_gone", { { "kind", static_cast<int>(settings_.kind) } });
    list("");
    return;
  }
  if (answer.outcome != StoreOutcome::Done) {
    retry();
    return;
  }
  std::vector<wire::WatchEvent> events;
  try {
    const wire::WatchPage page = wire::readEvents(answer.body);
    for (const wire::WatchEvent& event : page.events) {
      if (apply(event)) {
        events.push_back(event);
      }
    }
    cursor_.onWatchEnded(page.revision, !page.events.empty(), clockNow());
    if (!events.empty()) {
      copy_.onRead(page.revision);
      report(std::move(events), page.revision);
      noteReached();
      watching_ = true;
      follow(settings_.rest);
      return;
    }
  } catch (const wire::WireError& error) {
    onUnreadable(error);
    return;
  }
  noteReached();
  watching_ = true;
  follow(std::chrono::milliseconds(0));
}

// A difference was read from the store.
void ObjectMirror::report(std::vector<wire::WatchEvent> events, std::uint64_t revision)
{
  const ObjectChange change{ settings_.kind, { changedAt_, revision, 0, 1 }, std::move(events) };
  changedAt_ = std::max(changedAt_, revision);
  changed_(objects_);
  found_(change);
}

void ObjectMirror::noteReached()
{
  failures_ = 0;
  if (!reachable_) {
    reachable_ = true;
    log_.write("store_regained", { { "kind", static_cast<int>(settings_.kind) } });
  }
}

// Goes on watching, or leaves that to the relaying VM.
void ObjectMirror::follow(std::chrono::milliseconds pause)
{
  if (!relays_ && !copy_.mustWatchStore(clockNow())) {
    busy_ = false;
    watching_ = false;
    return;
  }
  if (pause.count() == 0) {
    watch();
    return;
  }
  timer_.expires_after(pause);
  timer_.async_wait([this](const error_code& error) {
    if (!error) {
      watch();
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
    return objects_.erase(event.object.name) > 0;
  }
  if (known && event.object.revision == found->second.revision) {
    return false;
  }
  objects_[event.object.name] = event.object;
  return true;
}

void ObjectMirror::onUnreadable(const wire::WireError& error)
{
  log_.write("store_answer_unreadable", { { "error", error.what() } });
  retry();
}

// Reads everything again: a store that cuts watches may have dropped changes without saying so.
void ObjectMirror::retry()
{
  if (reachable_) {
    reachable_ = false;
    log_.write("store_lost", { { "kind", static_cast<int>(settings_.kind) } });
  }
  const auto pause = std::min(kLongestPause, kFirstPause * (1 << std::min(failures_, 5U)));
  ++failures_;
  watching_ = false;
  const double part = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
  listAfter(std::chrono::duration_cast<std::chrono::milliseconds>(pause * part));
}

// While the store doesn't answer, one of the mirrors asks it and the others wait. A copy that
// another VM keeps up to date needs no answer.
void ObjectMirror::listAfter(std::chrono::milliseconds pause)
{
  timer_.expires_after(pause);
  timer_.async_wait([this](const error_code& error) {
    if (error) {
      return;
    }
    const base::TimePoint now = clockNow();
    if (!relays_ && !copy_.mustWatchStore(now)) {
      busy_ = false;
    } else if (store_.mayAsk(now)) {
      list("");
    } else {
      listAfter(kProbePause);
    }
  });
}

} // namespace sycamore::entry

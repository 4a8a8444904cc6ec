#include <entry/ObjectMirrors.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

// Delays between a change and the next watch, in which further changes accumulate. While many
// servers start or stop, their objects change one by one in quick succession.
constexpr std::chrono::milliseconds kConfigurationSettleDelay{ 150 };
constexpr std::chrono::milliseconds kServersSettleDelay{ 300 };

MirrorSettings settingsOf(wire::Kind kind,
                          CatchUp catchUp,
                          std::chrono::milliseconds settleDelay,
                          std::uint64_t seed)
{
  return { kind, catchUp, MirrorSettings().watchDuration, settleDelay, seed };
}

double secondsOf(base::Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

ObjectMirrors::ObjectMirrors(asio::io_context& context,
                             StoreClient& store,
                             EventLog& log,
                             std::uint64_t run,
                             const Listeners& listeners)
  : configuration_(context,
                   store,
                   log,
                   settingsOf(wire::Kind::Configuration,
                              CatchUp::CurrentState,
                              kConfigurationSettleDelay,
                              run + 1),
                   listeners.configuration,
                   listeners.changeRead)
  , servers_(context,
             store,
             log,
             settingsOf(wire::Kind::Servers, CatchUp::History, kServersSettleDelay, run + 2),
             listeners.servers,
             listeners.changeRead)
  , domainsOut_(
      context,
      store,
      log,
      settingsOf(wire::Kind::DomainsOut, CatchUp::CurrentState, kConfigurationSettleDelay, run + 3),
      listeners.domainsOut,
      listeners.changeRead)
  , all_{ &configuration_, &servers_, &domainsOut_ }
{
}

void ObjectMirrors::start()
{
  for (ObjectMirror* mirror : all_) {
    mirror->start();
  }
}

void ObjectMirrors::tick(bool isRelay, bool isStandby, base::TimePoint now)
{
  for (ObjectMirror* mirror : all_) {
    mirror->tick(isRelay, isStandby, now);
  }
}

bool ObjectMirrors::areWatching() const
{
  return std::ranges::all_of(all_, &ObjectMirror::isWatching);
}

bool ObjectMirrors::mayRelay(base::TimePoint now) const
{
  return std::ranges::all_of(all_,
                             [now](const ObjectMirror* mirror) { return mirror->mayRelay(now); });
}

std::vector<std::uint64_t> ObjectMirrors::lastChangeRevisions() const
{
  std::vector<std::uint64_t> revisions;
  for (const ObjectMirror* mirror : all_) {
    revisions.push_back(mirror->lastChangeRevision());
  }
  return revisions;
}

std::array<double, ObjectMirrors::kKinds> ObjectMirrors::secondsBehind(base::TimePoint now) const
{
  std::array<double, kKinds> seconds{};
  std::ranges::transform(all_, seconds.begin(), [now](const ObjectMirror* mirror) {
    return secondsOf(mirror->timeBehind(now));
  });
  return seconds;
}

std::array<double, ObjectMirrors::kKinds> ObjectMirrors::secondsSinceCurrent(
  base::TimePoint now) const
{
  std::array<double, kKinds> seconds{};
  std::ranges::transform(all_, seconds.begin(), [now](const ObjectMirror* mirror) {
    return secondsOf(mirror->age(now));
  });
  return seconds;
}

void ObjectMirrors::onCoordinatorHeard(bool isRelay,
                                       const std::vector<std::uint64_t>& lastChangeRevisions,
                                       base::TimePoint now)
{
  const bool areRevisionsKnown = isRelay && lastChangeRevisions.size() == all_.size();
  for (std::size_t i = 0; i < all_.size(); ++i) {
    if (areRevisionsKnown) {
      all_[i]->onRelayAnnouncement(lastChangeRevisions[i], now);
    } else {
      all_[i]->onCoordinatorHeard(now);
    }
  }
}

void ObjectMirrors::onChangePart(const ObjectChange& change)
{
  for (ObjectMirror* mirror : all_) {
    if (mirror->kind() == change.kind) {
      mirror->onChangePart(change);
    }
  }
}

} // namespace sycamore::entry

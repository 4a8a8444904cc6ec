#include "FakeStore.h"

#include <entry/ObjectMirror.h>
#include <entry/SteadyTime.h>

#include <doctest/doctest.h>

#include <functional>

using namespace sycamore;
using namespace sycamore::entry;
using std::chrono::milliseconds;

namespace {

// Time within which an announced change must be in force.
constexpr base::Duration kApplyBound = std::chrono::seconds(2);

// A copy of the configuration on a VM that another one relays to, and a store.
class Follower
{
public:
  Follower(std::size_t storeBytesPerSecond, std::size_t routes)
    : store_(context_, storeBytesPerSecond)
    , calls_(context_, BufferQuota(64ULL * 1024 * 1024))
    , client_(calls_, { "127.0.0.1", store_.port() }, bytes_)
    , mirror_(
        context_,
        client_,
        log_,
        { wire::Kind::Configuration },
        [this](const ObjectMirror::Objects& objects) {
          revision_ = objects.begin()->second.revision;
        },
        [](const ObjectChange&) {})
  {
    store_.write(routes);
    mirror_.onRelayAnnouncement(store_.revision(), clockNow());
    mirror_.start();
  }

  // Runs for a time in which the configuration changes at each interval, and returns the longest
  // time for which a change was missing. The changes are announced, but their messages are lost.
  base::Duration runWithChanges(base::Duration duration,
                                base::Duration changeInterval,
                                std::size_t routes)
  {
    const base::TimePoint end = clockNow() + duration;
    base::TimePoint nextChangeAt = clockNow() + changeInterval;
    std::map<std::uint64_t, base::TimePoint> writtenAt;
    base::Duration longest{};
    while (clockNow() < end) {
      context_.run_for(milliseconds(20));
      const base::TimePoint now = clockNow();
      if (now >= nextChangeAt) {
        nextChangeAt += changeInterval;
        store_.write(routes);
        writtenAt[store_.revision()] = now;
      }
      mirror_.onRelayAnnouncement(store_.revision(), now);
      mirror_.tick(false, true, now);
      const auto missing = writtenAt.upper_bound(revision_);
      longest = missing == writtenAt.end() ? longest : std::max(longest, now - missing->second);
    }
    return longest;
  }

  // Keeps this many more connections to the store open.
  void keepConnections(unsigned count)
  {
    unsigned answered = 0;
    for (unsigned i = 0; i < count; ++i) {
      client_.read(wire::Kind::Ownership,
                   wire::kOwnershipName,
                   wire::ReadConsistency::Current,
                   [&answered](const StoreAnswer&) { ++answered; });
    }
    while (answered < count) {
      context_.restart();
      context_.run_one();
    }
  }

  bool runUntilCurrent()
  {
    const base::TimePoint end = clockNow() + std::chrono::seconds(5);
    while (revision_ != store_.revision() && clockNow() < end) {
      context_.run_for(milliseconds(10));
      mirror_.onRelayAnnouncement(store_.revision(), clockNow());
      mirror_.tick(false, true, clockNow());
    }
    return revision_ == store_.revision();
  }

  FakeStore& store() { return store_; }

private:
  asio::io_context context_;
  EventLog log_{ "vm" };
  ByteCounts bytes_;
  FakeStore store_;
  CallClient calls_;
  StoreClient client_;
  ObjectMirror mirror_;
  std::uint64_t revision_ = 0;
};

// Interval of the reads by which a coordinator finds out whether the store answers it.
constexpr milliseconds kConfirmationInterval{ 300 };
constexpr std::size_t kRoutes = 4;
constexpr std::size_t kFastLink = 10'000'000;

// A VM that watches the configuration for all, keeps some idle connections to the store, and reads
// from it at intervals on other connections than the watch's.
class Relay
{
public:
  explicit Relay(unsigned idleConnections)
    : store_(context_, kFastLink)
    , calls_(context_, BufferQuota(64ULL * 1024 * 1024))
    , client_(calls_, { "127.0.0.1", store_.port() }, bytes_)
    , mirror_(
        context_,
        client_,
        log_,
        { wire::Kind::Configuration },
        [this](const ObjectMirror::Objects& objects) {
          revision_ = objects.begin()->second.revision;
        },
        [](const ObjectChange&) {})
  {
    store_.write(kRoutes);
    for (unsigned i = 0; i < idleConnections; ++i) {
      confirm();
    }
    mirror_.start();
    runFor(milliseconds(400));
  }

  FakeStore& store() { return store_; }
  std::uint64_t revision() const { return revision_; }

  void runFor(base::Duration duration)
  {
    runUntil([] { return false; }, duration);
  }

  // Returns the time until the condition held, at most `limit`.
  base::Duration runUntil(const std::function<bool()>& condition, base::Duration limit)
  {
    const base::TimePoint beganAt = clockNow();
    while (!condition() && clockNow() < beganAt + limit) {
      context_.restart();
      context_.run_for(milliseconds(5));
      const base::TimePoint now = clockNow();
      mirror_.tick(true, false, now);
      if (now >= nextConfirmationAt_) {
        nextConfirmationAt_ = now + kConfirmationInterval;
        confirm();
      }
    }
    return clockNow() - beganAt;
  }

  // Writes a change and returns the time until the copy has it.
  base::Duration timeUntilChangeIsSeen()
  {
    store_.write(kRoutes);
    return runUntil([this] { return revision_ == store_.revision(); }, std::chrono::seconds(8));
  }

private:
  void confirm()
  {
    client_.read(wire::Kind::Ownership,
                 wire::kOwnershipName,
                 wire::ReadConsistency::Current,
                 [](const StoreAnswer&) {});
  }

  asio::io_context context_;
  EventLog log_{ "vm" };
  ByteCounts bytes_;
  FakeStore store_;
  CallClient calls_;
  StoreClient client_;
  ObjectMirror mirror_;
  std::uint64_t revision_ = 0;
  base::TimePoint nextConfirmationAt_{};
};

} // namespace

// Guards against a copy that falls behind for as long as a large object changes.
TEST_CASE("a copy that is read from the store keeps up with frequent changes of a large object")
{
  constexpr std::size_t kManyRoutes = 300;
  // The link carries one version in about a third of the time of a call.
  Follower follower(250'000, kManyRoutes);
  REQUIRE(follower.runUntilCurrent());
  CHECK(follower.runWithChanges(std::chrono::seconds(5), milliseconds(150), kManyRoutes) <
        kApplyBound);
}

// Guards against a large object that a VM with a slow link reads again and again.
TEST_CASE("an answer of the store is read to its end while its bytes arrive")
{
  Follower follower(100'000, 900);
  CHECK(follower.runUntilCurrent());
  // The object takes 1.5 s and was read once.
  CHECK(follower.store().bytesSent() < 250'000);
}

// Guards against a change that stays unseen until a watch ends that can receive nothing.
TEST_CASE("a change after the connection of a running watch went silent is in force in time")
{
  for (const auto wait : { milliseconds(0), milliseconds(100), milliseconds(600) }) {
    for (const unsigned idleConnections : { 1U, 6U }) {
      CAPTURE(wait.count());
      CAPTURE(idleConnections);
      Relay relay(idleConnections);
      REQUIRE(relay.revision() == relay.store().revision());
      relay.store().silenceConnections();
      relay.runFor(wait);
      CHECK(relay.timeUntilChangeIsSeen() < kApplyBound);
    }
  }
}

// Guards against a VM that tries one silent connection after the other while it lacks a change.
TEST_CASE("a change whose messages were lost is read in time although all connections went silent")
{
  Follower follower(kFastLink, kRoutes);
  REQUIRE(follower.runUntilCurrent());
  follower.keepConnections(6);
  follower.store().silenceConnections();
  CHECK(follower.runWithChanges(std::chrono::seconds(4), milliseconds(1500), kRoutes) <
        kApplyBound);
}

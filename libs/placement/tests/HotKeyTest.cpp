#include "PlacementFixture.h"

#include <placement/HotKeyPolicy.h>
#include <placement/HotKeyTracker.h>
#include <placement/ShardMapBuilder.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <random>

using namespace sycamore::placement;
using namespace std::chrono_literals;
using sycamore::base::Key;
using sycamore::base::TimePoint;
using testing::PlacementFixture;

namespace {

const TimePoint kStart{ 1h };

HotKeySummary::Entry entry(const std::string& key, double rate)
{
  return { Key(key), rate, 0 };
}

// Sends 2,000 requests per second for the given time: every tenth for the hot key, the others
// spread over 50,000 keys.
void sendRequests(HotKeyTracker& tracker, TimePoint& now, int milliseconds, const std::string& hot)
{
  static std::mt19937_64 random(7);
  for (int i = 0; i < milliseconds * 2; ++i) {
    now += 500us;
    tracker.record(i % 10 == 0 ? hot : "k" + std::to_string(random() % 50000), now);
  }
}

} // namespace

// Guards against hot keys that are found too late, and against cooled keys that stay in the
// summary.
TEST_CASE("the tracker finds a key within seconds after it turns hot and drops a cooled one")
{
  HotKeyTracker tracker;
  TimePoint now = kStart;
  sendRequests(tracker, now, 20000, "first");
  CHECK(tracker.summary(now, 10).totalRate == doctest::Approx(2000).epsilon(0.02));
  CHECK(tracker.summary(now, 10).entries.at(0).rate == doctest::Approx(200).epsilon(0.1));
  sendRequests(tracker, now, 3000, "second");
  CHECK(tracker.summary(now, 10).entries.at(0).key == Key("second"));
  CHECK(tracker.summary(now, 10).entries.at(0).guaranteedRate() > 100);
  sendRequests(tracker, now, 17000, "second");
  CHECK(tracker.summary(now, 10).entries.at(1).rate < 20);
}

// Guards against unbounded memory use under a stream of new, long keys.
TEST_CASE("the tracker's memory stays bounded for any sequence of keys")
{
  HotKeyTracker tracker({ .capacity = 256, .timeConstant = 2s, .maxKeyBytes = 512 });
  TimePoint now = kStart;
  for (int i = 0; i < 100000; ++i) {
    now += 1ms;
    tracker.record(std::to_string(i) + std::string(static_cast<std::size_t>(i % 600), 'x'), now);
  }
  CHECK(tracker.size() == 256);
  CHECK(tracker.memoryBytes() < 256 * (512 + 256));
}

// Guards against counts that overflow or vanish in a long-running process.
TEST_CASE("rates are correct after a pause of days and when time goes backwards")
{
  HotKeyTracker tracker;
  TimePoint now = kStart;
  sendRequests(tracker, now, 1000, "a");
  now += 240h;
  CHECK(tracker.summary(now, 10).totalRate == doctest::Approx(0));
  sendRequests(tracker, now, 20000, "a");
  tracker.record("a", kStart);
  CHECK(tracker.summary(now, 10).totalRate == doctest::Approx(2000).epsilon(0.02));
}

// Guards against missing a key that is hot only in the sum of all entry VMs.
TEST_CASE("merged summaries add the rates of the VMs")
{
  HotKeySummary a{ 100, 0, { entry("x", 40), entry("y", 10) } };
  HotKeySummary b{ 50, 3, { entry("x", 20), entry("z", 5) } };
  const HotKeySummary sum = merge(a, b, 2);
  CHECK(sum.totalRate == 150);
  CHECK(sum.entries.at(0).key == Key("x"));
  CHECK(sum.entries.at(0).rate == 60);
  CHECK(sum.entries.at(1).key == Key("y"));
  CHECK(sum.entries.at(1).rate == 13);
  CHECK(sum.entries.at(1).guaranteedRate() == 10);
  CHECK(sum.maxUnlistedRate == 5);
  CHECK(hotKeySummaryFromJson(toJson(sum)) == sum);
  CHECK_THROWS_AS(hotKeySummaryFromJson({ { "total", 1 } }), ShardMapFormatError);
}

// Guards against splitting out and returning keys near the threshold again and again.
TEST_CASE("a split-out key returns only after it has stayed cool for the full cooling time")
{
  PlacementFixture fixture(20, 256);
  HotKeyPolicy policy;
  // A server's fair share is 50, so the thresholds are 1.5 and 0.75.
  const auto decide = [&](double rate, std::chrono::seconds at) {
    const HotKeySummary summary{ 1000, 0, { entry("k", rate) } };
    return policy.decide(fixture.map, summary, 20, kStart + at);
  };
  CHECK(decide(1.4, 0s).hot.empty());
  CHECK(decide(1.6, 1s).hot == std::vector{ Key("k") });
  const std::vector<Key> split{ Key("k") };
  fixture.step(split);
  CHECK(decide(1.0, 2s).cooled.empty());
  CHECK(decide(0.5, 3s).cooled.empty());
  CHECK(decide(1.0, 20s).cooled.empty());
  CHECK(decide(0.5, 21s).cooled.empty());
  CHECK(decide(0.5, 50s).cooled.empty());
  CHECK(decide(0.5, 51s).cooled == split);
}

// Guards against more overrides than configured, and against ignoring new hot keys when all
// overrides are in use.
TEST_CASE("overrides stay within the limit and the coolest is replaced by a hotter key")
{
  PlacementFixture fixture(20, 256);
  HotKeyPolicy policy({ .maxOverrides = 2 });
  HotKeySummary summary{ 1000, 0, { entry("a", 9), entry("b", 8), entry("c", 7) } };
  auto decision = policy.decide(fixture.map, summary, 20, kStart);
  CHECK(decision.hot == std::vector{ Key("a"), Key("b") });
  fixture.step(decision.hot);
  summary.entries = { entry("d", 20), entry("a", 9), entry("b", 8) };
  decision = policy.decide(fixture.map, summary, 20, kStart);
  CHECK(decision.hot.empty());
  CHECK(decision.cooled == std::vector{ Key("b") });
}

// Guards against overrides that exceed the limit after operators have lowered it.
TEST_CASE("a lowered limit returns the coolest overrides at once")
{
  PlacementFixture fixture(20, 256);
  fixture.step(std::vector{ Key("a"), Key("b"), Key("c") });
  HotKeyPolicy policy({ .maxOverrides = 1 });
  const HotKeySummary summary{ 1000, 0, { entry("b", 9), entry("c", 8), entry("a", 7) } };
  CHECK(policy.decide(fixture.map, summary, 20, kStart).cooled ==
        std::vector{ Key("a"), Key("c") });
}

// Guards against a cooled key that never returns because the VMs' summaries are full of such
// keys.
TEST_CASE("a key seen by one VM is not kept hot by the maximum unlisted rates of the others")
{
  PlacementFixture fixture(20, 256);
  const std::vector<Key> split{ Key("k") };
  fixture.step(split);
  HotKeySummary summary{ 1000, 0, { entry("k", 0.2) } };
  summary = merge(summary, HotKeySummary{ 9000, 50, {} }, 10);
  HotKeyPolicy policy;
  policy.decide(fixture.map, summary, 20, kStart);
  CHECK(policy.decide(fixture.map, summary, 20, kStart + 31s).cooled == split);
}

// Guards against filling the map with cooled keys when the set of hot keys changes within minutes.
TEST_CASE("overrides follow 260 hot keys that change every two minutes, within the limit")
{
  PlacementFixture fixture(200, 1024);
  HotKeyPolicy policy;
  std::size_t followed = 0;
  for (int second = 0; second < 600; ++second) {
    HotKeySummary summary{ 100000, 0, {} };
    for (int i = 0; i < 260; ++i) {
      summary.entries.push_back(entry("k" + std::to_string(second / 120 * 130 + i), 30));
    }
    const auto decision = policy.decide(fixture.map, summary, 200, fixture.now);
    fixture.step(decision.hot, decision.cooled);
    CHECK(fixture.map.overrides().size() <= 260);
    if (second % 120 == 119) {
      followed = 0;
      for (const auto& hot : summary.entries) {
        followed += fixture.map.overrideOf(hot.key) != nullptr;
      }
      CHECK(followed >= 255);
    }
  }
}

#include "QueueModel.h"

#include <doctest/doctest.h>

#include <memory>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

namespace {

// Reads and urgent orders at a server with two slots, at one and a half times what it can run.
const std::vector<PlayedClass> kHeavy{
  { 0, 14, milliseconds(42), milliseconds(150), milliseconds(400), 3 },
  { 2, 40, milliseconds(60), milliseconds(200), milliseconds(500), 1 },
};

bool sendAlways(const PlayedClass&, const ServerLoad&, base::TimePoint)
{
  return true;
}

QueueModel::Rule byEstimate()
{
  return
    [rule = AdmissionRule()](const PlayedClass& type, const ServerLoad& load, base::TimePoint now) {
      return !rule.retryDelayIfRefused(load.expectedLatency(now), type.target, type.patience, 0.5);
    };
}

QueueModel::Rule byEstimateAndUrgency()
{
  return [rule = AdmissionRule(), guard = std::make_shared<PriorityThrottle>()](
           const PlayedClass& type, const ServerLoad& load, base::TimePoint now) {
    const double share = guard->boundFactor(type.priority, now);
    const auto scaled = [share](base::Duration time) {
      return std::chrono::duration_cast<base::Duration>(time * share);
    };
    const bool sent = !rule.retryDelayIfRefused(
      load.expectedLatency(now), scaled(type.target), scaled(type.patience), 0.5);
    if (sent) {
      guard->onRequestSent(type.priority, now);
    } else {
      guard->onRequestRefused(type.priority, now);
    }
    return sent;
  };
}

} // namespace

// Load: half as much again as the slots can run. Without a rule all wait and nearly all are late.
TEST_CASE("refusing by estimate serves more callers in time than letting all wait")
{
  const auto all = QueueModel(kHeavy, 2, sendAlways).play(20000, 1);
  const auto estimated = QueueModel(kHeavy, 2, byEstimate()).play(20000, 1);
  CHECK(worthShare(kHeavy, estimated) > worthShare(kHeavy, all) + 0.2);
}

TEST_CASE("urgent requests keep their room when less urgent ones fill the servers")
{
  const auto estimated = QueueModel(kHeavy, 2, byEstimate()).play(20000, 1);
  const auto guarded = QueueModel(kHeavy, 2, byEstimateAndUrgency()).play(20000, 1);
  CHECK(guarded[0].inTargetShare() > estimated[0].inTargetShare() + 0.1);
  CHECK(worthShare(kHeavy, guarded) > worthShare(kHeavy, estimated));
}

TEST_CASE("without a lack of room nobody is refused for urgency")
{
  PriorityThrottle guard;
  base::ManualClock clock;
  for (int i = 0; i < 100; ++i) {
    guard.onRequestSent(0, clock.now());
    clock.advance(milliseconds(20));
  }
  CHECK(guard.boundFactor(2, clock.now()) == doctest::Approx(1));
}

TEST_CASE("the most urgent requests are never held back")
{
  PriorityThrottle guard;
  base::ManualClock clock;
  for (int i = 0; i < 100; ++i) {
    guard.onRequestRefused(0, clock.now());
    guard.onRequestRefused(1, clock.now());
  }
  CHECK(guard.boundFactor(0, clock.now()) == doctest::Approx(1));
  CHECK(guard.boundFactor(1, clock.now()) == doctest::Approx(PriorityThrottle::kMinBoundFactor));
}

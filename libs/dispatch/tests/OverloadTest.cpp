#include "QueueModel.h"

#include <doctest/doctest.h>

#include <memory>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

namespace {

// Reads and urgent orders at 1.5 times the capacity of a server with two slots.
const std::vector<RequestClass> kOverload{
  { 0, 14, milliseconds(42), milliseconds(150), milliseconds(400), 3 },
  { 2, 40, milliseconds(60), milliseconds(200), milliseconds(500), 1 },
};

bool sendAlways(const RequestClass&, const ServerLoad&, base::TimePoint)
{
  return true;
}

QueueModel::Rule refuseByEstimate()
{
  return [rule = AdmissionRule()](
           const RequestClass& type, const ServerLoad& load, base::TimePoint now) {
    return !rule.retryDelayIfRefused(load.expectedLatency(now), type.target, type.timeout, 0.5);
  };
}

QueueModel::Rule refuseByEstimateAndPriority()
{
  return [rule = AdmissionRule(), throttle = std::make_shared<PriorityThrottle>()](
           const RequestClass& type, const ServerLoad& load, base::TimePoint now) {
    const double share = throttle->boundFactor(type.priority, now);
    const auto scaled = [share](base::Duration time) {
      return std::chrono::duration_cast<base::Duration>(time * share);
    };
    const bool sent = !rule.retryDelayIfRefused(
      load.expectedLatency(now), scaled(type.target), scaled(type.timeout), 0.5);
    if (sent) {
      throttle->onRequestSent(type.priority, now);
    } else {
      throttle->onRequestRefused(type.priority, now);
    }
    return sent;
  };
}

} // namespace

// The load is 1.5 times the capacity of the slots. Without admission all requests wait and nearly
// all are late.
TEST_CASE("refusing by estimated latency answers more requests in time than letting all wait")
{
  const auto all = QueueModel(kOverload, 2, sendAlways).simulate(20000, 1);
  const auto estimated = QueueModel(kOverload, 2, refuseByEstimate()).simulate(20000, 1);
  CHECK(valueShare(kOverload, estimated) > valueShare(kOverload, all) + 0.2);
}

TEST_CASE("urgent requests are answered in time when less urgent ones fill the servers")
{
  const auto estimated = QueueModel(kOverload, 2, refuseByEstimate()).simulate(20000, 1);
  const auto throttled = QueueModel(kOverload, 2, refuseByEstimateAndPriority()).simulate(20000, 1);
  CHECK(throttled[0].inTargetShare() > estimated[0].inTargetShare() + 0.1);
  CHECK(valueShare(kOverload, throttled) > valueShare(kOverload, estimated));
}

TEST_CASE("less urgent requests aren't throttled while urgent ones have room")
{
  PriorityThrottle throttle;
  base::ManualClock clock;
  for (int i = 0; i < 100; ++i) {
    throttle.onRequestSent(0, clock.now());
    clock.advance(milliseconds(20));
  }
  CHECK(throttle.boundFactor(2, clock.now()) == doctest::Approx(1));
}

TEST_CASE("the most urgent requests are never throttled")
{
  PriorityThrottle throttle;
  base::ManualClock clock;
  for (int i = 0; i < 100; ++i) {
    throttle.onRequestRefused(0, clock.now());
    throttle.onRequestRefused(1, clock.now());
  }
  CHECK(throttle.boundFactor(0, clock.now()) == doctest::Approx(1));
  CHECK(throttle.boundFactor(1, clock.now()) == doctest::Approx(PriorityThrottle::kMinBoundFactor));
}

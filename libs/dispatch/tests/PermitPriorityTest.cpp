#include "PermitModel.h"

#include <doctest/doctest.h>

#include <optional>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Duration kDuration = seconds(600);
const LimitedServer kLimited{ { base::ServerId("s"), 1 }, { 2 } };

// Returns when the issuer grants a permit to a priority that asks every 20 ms while a more urgent
// one does the same.
std::optional<base::TimePoint> firstGrantBeside(PermitIssuer& issuer, base::TimePoint now)
{
  for (const base::TimePoint end = now + seconds(10); now < end; now += milliseconds(20)) {
    issuer.request({ kLimited, 1, 0 }, true, now);
    if (issuer.request({ kLimited, 1, 2 }, true, now).count > 0) {
      return now;
    }
  }
  return std::nullopt;
}

} // namespace

// Guards against urgent requests that are refused while less urgent ones get the server's permits.
TEST_CASE("urgent requests get the permits of a limited server before a flood of less urgent ones")
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    for (const PermitConditions& conditions : {
           PermitConditions{ 10, 2.6, { { 0, 1 }, { 2, 14 } } },
           PermitConditions{ 100, 2.6, { { 0, 1 }, { 2, 14 } } },
           PermitConditions{ 100, 20, { { 0, 8 }, { 2, 100 } } },
         }) {
      CAPTURE(seed);
      CAPTURE(conditions.vms);
      CAPTURE(conditions.perSecond);
      PermitModel model(seed, conditions);
      model.run(kDuration);
      CHECK(model.servedShare(0) >= 0.9);
      const double used = static_cast<double>(model.arrivals()) /
                          (conditions.perSecond * std::chrono::duration<double>(kDuration).count());
      CHECK(used >= 0.9);
      CHECK(model.mostInWindow() <= model.allowed());
    }
  }
}

TEST_CASE("each priority gets a larger part of its requests served than the next one")
{
  PermitModel model(1, { 20, 4, { { 0, 3 }, { 1, 3 }, { 2, 3 }, { 7, 3 } } });
  model.run(kDuration);
  CHECK(model.servedShare(0) > 1.5 * model.servedShare(1));
  CHECK(model.servedShare(1) > model.servedShare(2));
  CHECK(model.mostInWindow() <= model.allowed());
}

// Guards against less urgent requests that get nothing while urgent ones could use the whole limit.
TEST_CASE("less urgent requests get some permits beside more urgent requests than the limit allows")
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    CAPTURE(seed);
    for (const PermitConditions& conditions : {
           PermitConditions{ 10, 2.6, { { 0, 15 }, { 2, 15 } } },
           PermitConditions{ 3, 2.6, { { 0, 15 }, { 2, 2 } }, milliseconds(700) },
         }) {
      CAPTURE(conditions.vms);
      PermitModel model(seed, conditions);
      model.run(kDuration);
      const double lessUrgentShare =
        static_cast<double>(model.served(2)) / static_cast<double>(model.arrivals());
      CHECK(lessUrgentShare >= 0.03);
      CHECK(lessUrgentShare <= 0.25);
      CHECK(model.mostInWindow() <= model.allowed());
    }
  }
}

TEST_CASE("a priority that is passed over gets a permit within bounded time")
{
  PermitIssuer issuer;
  const base::TimePoint start{ seconds(1000) };
  const auto grantedAt = firstGrantBeside(issuer, start);
  REQUIRE(grantedAt);
  CHECK(*grantedAt <= start + seconds(6));
}

TEST_CASE("less urgent requests get all permits while no urgent one asks")
{
  PermitModel model(1, { 10, 2.6, { { 2, 15 } } });
  model.run(kDuration);
  CHECK(static_cast<double>(model.arrivals()) >= 0.9 * 2.6 * 600);
}

TEST_CASE("a permit goes to the most urgent request that waits at an entry VM")
{
  const auto permits = std::make_shared<RequestPermits>(0.5);
  const base::TimePoint now{ seconds(1000) };
  permits->onAnswer(kLimited.limit, now, now);
  CHECK(permits->tryTake({ 2 }, 1, now) == PermitDecision::Ask);
  const PermitWait lessUrgent(permits, 2);
  CHECK(permits->tryTake({ 0 }, 1, now) == PermitDecision::Wait);
  std::optional<PermitWait> urgent;
  urgent.emplace(permits, 0);
  permits->onGrant({ 1, {} }, now);
  CHECK(permits->tryTake({ 2 }, 1, now) == PermitDecision::Ask);
  CHECK(permits->tryTake({ 0 }, 1, now) == PermitDecision::Send);
  urgent.reset();
  permits->onGrant({ 1, {} }, now);
  CHECK(permits->tryTake({ 2 }, 1, now) == PermitDecision::Send);
}

TEST_CASE("a denial holds for less urgent requests, not for more urgent ones")
{
  const auto permits = std::make_shared<RequestPermits>(0.5);
  const base::TimePoint now{ seconds(1000) };
  permits->onAnswer(kLimited.limit, now, now);
  CHECK(permits->tryTake({ 1 }, 1, now) == PermitDecision::Ask);
  permits->onGrant({ 0, milliseconds(300) }, now);
  CHECK(permits->tryTake({ 2 }, 1, now) == PermitDecision::Refuse);
  CHECK(permits->tryTake({ 1 }, 1, now) == PermitDecision::Refuse);
  CHECK(permits->retryIn(2, now) == milliseconds(300));
  CHECK(permits->tryTake({ 0 }, 1, now) == PermitDecision::Ask);
  permits->onGrant({ 0, milliseconds(100) }, now);
  CHECK(permits->retryIn(0, now) == milliseconds(100));
  CHECK(permits->retryIn(1, now) == milliseconds(300));
}

TEST_CASE("a request waits for a permit that is due in its time, and is refused at once otherwise")
{
  RequestPermits permits(0.5);
  const base::TimePoint now{ seconds(1000) };
  permits.onAnswer(kLimited.limit, now, now);
  CHECK(permits.tryTake({ 1, now }, 1, now) == PermitDecision::Ask);
  permits.onGrant({ 0, milliseconds(80) }, now);
  CHECK(permits.tryTake({ 1, now + milliseconds(100) }, 1, now) == PermitDecision::Wait);
  CHECK(permits.tryTake({ 1, now + milliseconds(70) }, 1, now) == PermitDecision::Refuse);
  const base::TimePoint due = now + milliseconds(80);
  CHECK(permits.tryTake({ 1, now + milliseconds(100) }, 1, due) == PermitDecision::Ask);
}

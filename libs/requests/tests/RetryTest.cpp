#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <requests/Backoff.h>
#include <requests/HedgePolicy.h>
#include <requests/RetryAfter.h>
#include <requests/RetryPolicy.h>

#include <random>

using namespace sycamore;
using namespace sycamore::requests;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{ 1000s };

RetryQuery query(bool idempotent, Outcome outcome)
{
  return { idempotent, { outcome, Reason::ConnectionLost }, 1, kStart + 1s, 5ms, 1ms };
}

// Sends `requests` at a fixed rate to servers that all fail, and retries each as often as the
// policy allows. Returns the number of attempts per request.
double amplification(RetryBudget& budget, base::TimePoint from, int requests)
{
  const RetryPolicy policy(4);
  int attempts = 0;
  for (int i = 0; i < requests; ++i) {
    const base::TimePoint now = from + i * 1ms;
    RetryQuery retry = query(true, Outcome::Unknown);
    retry.deadline = now + 1s;
    ++attempts;
    while (policy.decide(retry, budget, now).retry) {
      ++attempts;
      ++retry.attemptsMade;
    }
  }
  return static_cast<double>(attempts) / requests;
}

} // namespace

// Guards against a second execution of a request that may have run.
TEST_CASE("only requests that are idempotent or provably did not run are retried")
{
  const RetryPolicy policy(3);
  RetryBudget budget;
  CHECK(policy.decide(query(true, Outcome::Unknown), budget, kStart).retry);
  CHECK(policy.decide(query(false, Outcome::NotRun), budget, kStart).retry);
  CHECK_FALSE(policy.decide(query(false, Outcome::Unknown), budget, kStart).retry);
  CHECK_FALSE(policy.decide(query(true, Outcome::Ran), budget, kStart).retry);
}

// Guards against retries that cannot succeed, and against charging the budget for them.
TEST_CASE("no retry after the deadline, the last attempt or a final reason, and none is charged")
{
  const RetryPolicy policy(3);
  RetryBudget budget;
  RetryQuery late = query(true, Outcome::NotRun);
  late.delay = 1s;
  RetryQuery last = query(true, Outcome::NotRun);
  last.attemptsMade = 3;
  RetryQuery quarantined = query(true, Outcome::NotRun);
  quarantined.last.reason = Reason::Quarantined;
  for (const RetryQuery& refused : { late, last, quarantined }) {
    CHECK(policy.decide(refused, budget, kStart).refusal == refused.last.reason);
  }
  CHECK(budget.available(kStart) == doctest::Approx(3));
}

// Guards against a retry storm: with every server failing, the total load must stay below 1.2 times
// the offered load, however many requests succeeded before.
TEST_CASE("retries stay within the budget when every server fails after a period of successes")
{
  CHECK(rc::check([] {
    const int successes = *rc::gen::inRange(0, 5000);
    RetryBudget budget;
    base::TimePoint now = kStart;
    for (int i = 0; i < successes; ++i, now += 1ms) {
      budget.recordSuccess(now);
    }
    RC_ASSERT(amplification(budget, now, std::max(100, successes)) < 1.2);
  }));
}

// Guards against a burst of retries that was earned by successes long ago.
TEST_CASE("successes older than the window earn no retries")
{
  RetryBudget budget;
  for (int i = 0; i < 500; ++i) {
    budget.recordSuccess(kStart);
  }
  CHECK(budget.available(kStart) == doctest::Approx(53));
  CHECK(budget.available(kStart + 12s) == doctest::Approx(3));
}

// Guards against callers that retry at the same time, and against a server's hint that is ignored
// or has no limit.
TEST_CASE("backoff stays below its ceiling and follows the hint up to its cap")
{
  const Backoff backoff({ 5ms, 1s, 30s });
  CHECK(backoff.ceiling(1) == 5ms);
  CHECK(backoff.ceiling(3) == 20ms);
  CHECK(backoff.ceiling(1000) == 1s);
  CHECK(rc::check([&](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto attempts = *rc::gen::inRange(1U, 40U);
    RC_ASSERT(backoff.delay(attempts, std::nullopt, random) <= backoff.ceiling(attempts));
    RC_ASSERT(backoff.delay(attempts, 2s, random) == 2s);
    RC_ASSERT(backoff.delay(attempts, 1h, random) == 30s);
  }));
}

// Guards against a valid form of Retry-After that is rejected and invalid text that is accepted.
TEST_CASE("all forms of Retry-After are parsed and other text is rejected")
{
  const WallTime now = std::chrono::sys_days(std::chrono::year(1994) / 11 / 6) + 8h + 49min;
  CHECK(parseRetryAfter("120", now) == 120s);
  CHECK(parseRetryAfter("Sun, 06 Nov 1994 08:49:37 GMT", now) == 37s);
  CHECK(parseRetryAfter("Sunday, 06-Nov-94 08:49:37 GMT", now) == 37s);
  CHECK(parseRetryAfter("Sun Nov  6 08:49:37 1994", now) == 37s);
  CHECK(parseRetryAfter("Sun, 06 Nov 1994 08:48:37 GMT", now) == 0s);
  CHECK(parseRetryAfter("99999999999999999999", now) == 999'999'999s);
  CHECK(parseRetryAfter("Sun, 06 Nov 9999 08:49:37 GMT", now) == 999'999'999s);
  for (const char* text : { "",
                            "-1",
                            "1.5",
                            "soon",
                            "Sun, 31 Feb 1994 08:49:37 GMT",
                            "Sun, 06 Nov 1994 25:49:37 GMT",
                            "Sun, 06 Nov 1994 08:49:37 GMT+1" }) {
    CHECK_FALSE(parseRetryAfter(text, now).has_value());
  }
  CHECK(formatRetryAfter(1001ms) == "2");
  CHECK(formatRetryAfter(0ms) == "1");
}

// Guards against hedges that run non-idempotent requests twice, start too early or exceed their
// budget.
TEST_CASE("a hedge starts after the p95 latency, for idempotent requests, within its budget")
{
  HedgePolicy hedges;
  CHECK_FALSE(hedges.hedgeAt(true, kStart, kStart + 1s).has_value());
  for (int i = 0; i < 200; ++i) {
    hedges.recordSuccess(i % 20 == 0 ? 10ms : 1ms, kStart + i * 1ms);
  }
  const auto at = hedges.hedgeAt(true, kStart, kStart + 1s);
  REQUIRE(at.has_value());
  CHECK(*at >= kStart + 1ms);
  CHECK(*at < kStart + 2ms);
  CHECK_FALSE(hedges.hedgeAt(false, kStart, kStart + 1s).has_value());
  CHECK_FALSE(hedges.hedgeAt(true, kStart, kStart + 1ms).has_value());
  int sent = 0;
  while (hedges.tryHedge(kStart + 200ms)) {
    ++sent;
  }
  CHECK(sent == 1);
}

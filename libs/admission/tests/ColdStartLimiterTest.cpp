#include <admission/ColdStartLimiter.h>
#include <admission/ServerBackoff.h>
#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::admission;
using namespace std::chrono_literals;
using requests::Reason;

namespace {

const base::TimePoint kStart{ 1000s };

class Server
{
public:
  Server() { limiter.onReport(base::Incarnation(1), ReportedState::Warm, now); }

  void answer(int count, base::Duration latency)
  {
    for (int i = 0; i < count; ++i) {
      now += 1ms;
      limiter.onSuccess(latency, now);
    }
  }

  base::TimePoint now = kStart;
  ColdStartLimiter limiter{ {}, 6, kStart };
};

} // namespace

// Guards against full load on a server that has just started, and against a ramp that rises with
// time although the server answers nothing.
TEST_CASE("a cold server gets the cold limit and ramps only on successes")
{
  ColdStartLimiter limiter({}, 6, kStart);
  limiter.onReport(base::Incarnation(1), ReportedState::Cold, kStart);
  CHECK(limiter.concurrency() == 1);
  limiter.onDispatch(kStart);
  CHECK(limiter.nextDispatchAt(kStart) > kStart);
  limiter.onSuccess(1ms, kStart + 60s);
  CHECK(limiter.concurrency() == 1);
  unsigned before = 1;
  for (int i = 0; i < 101; ++i) {
    limiter.onSuccess(1ms, kStart + 60s + i * 100ms);
    CHECK(limiter.concurrency() >= before);
    before = limiter.concurrency();
  }
  CHECK(limiter.concurrency() == 6);
  CHECK_FALSE(limiter.isCold());
}

// Guards against full load after a restart, a cold report or a cold refusal.
TEST_CASE("a new incarnation, a cold report or a cold refusal lowers the limit to the cold limit")
{
  Server restarted;
  CHECK(restarted.limiter.concurrency() == 6);
  restarted.limiter.onReport(base::Incarnation(2), ReportedState::Warm, kStart);
  CHECK(restarted.limiter.concurrency() == 1);
  Server reported;
  reported.limiter.onReport(base::Incarnation(1), ReportedState::Cold, kStart);
  CHECK(reported.limiter.concurrency() == 1);
  Server refused;
  refused.limiter.onRefusal(Reason::Cold, kStart);
  CHECK(refused.limiter.concurrency() == 1);
}

// Guards against full load on a server that has turned cold while its reports still say warm.
TEST_CASE("high latency lowers the limit to the cold limit and normal latency restores it")
{
  Server server;
  server.answer(100, 1ms);
  CHECK(server.limiter.concurrency() == 6);
  server.answer(12, 10ms);
  CHECK(server.limiter.concurrency() == 1);
  server.limiter.onReport(base::Incarnation(1), ReportedState::Warm, server.now);
  CHECK(server.limiter.concurrency() == 1);
  server.answer(300, 1ms);
  CHECK(server.limiter.concurrency() == 6);
  server.limiter.onUnanswered(100ms, server.now);
  CHECK(server.limiter.concurrency() == 1);
}

// Guards against treating a lasting change of the latency as an overload for ever.
TEST_CASE("a lasting change of latency becomes the baseline")
{
  Server server;
  server.answer(100, 1ms);
  server.answer(3000, 5ms);
  CHECK(server.limiter.concurrency() == 6);
}

// Guards against several refusals of requests that were in flight together lowering the limit to
// the minimum.
TEST_CASE("overload refusals at the same time halve the limit only once")
{
  Server server;
  for (int i = 0; i < 5; ++i) {
    server.limiter.onRefusal(Reason::Overloaded, server.now);
  }
  CHECK(server.limiter.concurrency() == 3);
}

// Guards against a burst of requests as soon as the back-off of a failing server ends.
TEST_CASE("the shared back-off allows one probe and waits longer after each failure")
{
  ServerBackoff backoff({ 10ms, 1s, 30s });
  CHECK(backoff.allowsRequest(kStart));
  backoff.onFailure(std::nullopt, kStart);
  backoff.onFailure(1h, kStart);
  CHECK_FALSE(backoff.allowsRequest(kStart));
  CHECK(backoff.nextAllowedAt() == kStart + 10ms);
  backoff.onSent();
  CHECK_FALSE(backoff.allowsRequest(kStart + 1s));
  backoff.onFailure(2s, kStart + 1s);
  CHECK(backoff.nextAllowedAt() == kStart + 3s);
  backoff.onSent();
  backoff.onInconclusive();
  CHECK(backoff.allowsRequest(kStart + 3s));
  backoff.onSent();
  backoff.onSuccess();
  CHECK(backoff.allowsRequest(kStart + 3s));
}

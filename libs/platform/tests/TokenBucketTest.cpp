#include <doctest/doctest.h>
#include <platform/TokenBucket.h>

using namespace sycamore;
using namespace std::chrono_literals;
using platform::TokenBucket;

namespace {

const base::TimePoint kStart(1000s);

int takeAll(TokenBucket& bucket, double reserve, base::TimePoint now)
{
  int taken = 0;
  while (taken < 10000 && bucket.take(reserve, now)) {
    ++taken;
  }
  return taken;
}

} // namespace

// Guards against tokens that accumulate without limit while idle and allow a large burst.
TEST_CASE("tokens don't accumulate beyond the capacity")
{
  TokenBucket bucket(10, 5, kStart);
  CHECK(takeAll(bucket, 0, kStart) == 5);
  CHECK(takeAll(bucket, 0, kStart + 1h) == 5);
  CHECK(takeAll(bucket, 0, kStart + 1h + 200ms) == 2);
}

// Guards against a time earlier than the last one that adds or removes tokens.
TEST_CASE("a time that goes backwards doesn't change the tokens")
{
  TokenBucket bucket(10, 5, kStart);
  takeAll(bucket, 0, kStart);
  CHECK_FALSE(bucket.take(0, kStart - 1s));
  CHECK(takeAll(bucket, 0, kStart + 100ms) == 1);
}

// Guards against a caller that waits until the returned time and is refused again.
TEST_CASE("a token is available at the returned time")
{
  for (const double rate : { 0.3, 3.0, 7.0, 133.3, 1600.0 }) {
    TokenBucket bucket(rate, rate, kStart);
    takeAll(bucket, 0, kStart);
    bucket.forceTake(0.37, kStart);
    const base::TimePoint next = bucket.nextTakeAt(0.5, kStart);
    CHECK_FALSE(bucket.take(0.5, next - 1ms));
    CHECK(bucket.take(0.5, next));
  }
}

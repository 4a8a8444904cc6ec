#include <dispatch/ShutdownPlan.h>

#include <doctest/doctest.h>

using namespace sycamore;
using dispatch::ShutdownPlan;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Duration kGrace = seconds(6);
const base::TimePoint kStart{ seconds(1000) };

} // namespace

TEST_CASE("a stopping VM sends requests whose answer is due before the process ends")
{
  const ShutdownPlan plan(kStart, kGrace);
  CHECK(plan.maySend(kStart + seconds(4), kStart + seconds(5), seconds(60)));
  CHECK(plan.maySend(kStart + seconds(4), plan.lastAnswerAt(), milliseconds(1)));
}

// Guards against work that is begun although its caller can't get the answer.
TEST_CASE("late during a shutdown, requests that may outlast the process aren't sent")
{
  const ShutdownPlan plan(kStart, kGrace);
  CHECK_FALSE(plan.maySend(kStart + seconds(3), kStart + seconds(7), milliseconds(1)));
  CHECK_FALSE(plan.maySend(
    kStart + milliseconds(3010), plan.lastAnswerAt() + milliseconds(1), milliseconds(1)));
}

TEST_CASE("early in a shutdown, requests are sent unless they probably outlast the process")
{
  const ShutdownPlan plan(kStart, kGrace);
  const base::TimePoint deadline = kStart + seconds(9);
  CHECK(plan.maySend(kStart + seconds(2), deadline, milliseconds(1700)));
  CHECK_FALSE(plan.maySend(kStart + seconds(2), deadline, milliseconds(1900)));
  CHECK_FALSE(plan.maySend(kStart + seconds(2), deadline, seconds(5)));
}

TEST_CASE("the steps of a shutdown are in order for any grace period")
{
  for (const base::Duration grace : { base::Duration(0),
                                      base::Duration(milliseconds(300)),
                                      base::Duration(seconds(1)),
                                      kGrace,
                                      base::Duration(seconds(60)) }) {
    const ShutdownPlan plan(kStart, grace);
    CHECK(kStart <= plan.acceptsUntil());
    CHECK(plan.acceptsUntil() <= plan.lastAnswerAt());
    CHECK(plan.lastAnswerAt() <= plan.endsAt());
    CHECK(plan.endsAt() <= kStart + grace);
  }
}

TEST_CASE("connections are accepted while the platform still directs callers to the VM")
{
  CHECK(ShutdownPlan(kStart, kGrace).acceptsUntil() == kStart + milliseconds(3200));
}

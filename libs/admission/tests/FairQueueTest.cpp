#include <admission/FairQueue.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>

using namespace sycamore;
using namespace sycamore::admission;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{ 1000s };
const ServiceEstimate kFast{ 1us, 1us };

QueuedWork item(std::uint64_t id, const std::string& flow, base::Duration timeLeft = 1s)
{
  return { WorkId(id), flow, kStart + timeLeft, 100, false };
}

} // namespace

// Guards against a busy caller that delays or starves the others.
TEST_CASE("flows are served round-robin and a full queue evicts from the longest flow")
{
  FairQueue queue({ .maxLength = 4 });
  for (std::uint64_t id = 0; id < 4; ++id) {
    CHECK(queue.push(item(id, "busy"), kFast, kStart).queued);
  }
  CHECK_FALSE(queue.push(item(4, "busy"), kFast, kStart).queued);
  const PushResult pushed = queue.push(item(5, "calm"), kFast, kStart);
  CHECK(pushed.queued);
  REQUIRE(pushed.evicted.size() == 1);
  CHECK(pushed.evicted.front().id == WorkId(3));
  CHECK(queue.pop(kStart)->id == WorkId(0));
  CHECK(queue.pop(kStart)->id == WorkId(5));
  CHECK(queue.pop(kStart)->id == WorkId(1));
}

// Guards against queueing work that would expire in the queue, and against refusing work that
// another flow's backlog doesn't delay.
TEST_CASE("work that cannot finish before its deadline is refused at once, with the estimated wait")
{
  FairQueue queue;
  const ServiceEstimate slow{ 10ms, 20ms };
  for (std::uint64_t id = 0; id < 8; ++id) {
    CHECK(queue.push(item(id, "busy"), slow, kStart).queued);
  }
  const PushResult late = queue.push(item(9, "busy", 50ms), slow, kStart);
  CHECK(late.waitTooLong);
  CHECK(late.retryAfter >= 80ms);
  CHECK(queue.push(item(10, "calm", 50ms), slow, kStart).queued);
}

// Guards against dispatching expired work.
TEST_CASE("expired work is never popped and is returned by takeExpired")
{
  FairQueue queue;
  queue.push(item(1, "a", 10ms), kFast, kStart);
  queue.push(item(2, "a", 90ms), kFast, kStart);
  queue.push(item(3, "b", 10ms), kFast, kStart);
  CHECK(queue.nextDeadline() == kStart + 10ms);
  CHECK(queue.front(kStart + 10ms)->id == WorkId(2));
  CHECK(queue.takeExpired(kStart + 10ms).size() == 2);
  CHECK_FALSE(queue.pop(kStart + 90ms).has_value());
  CHECK(queue.length() == 1);
}

// Guards against lost or duplicated work, and against a queue that exceeds its length or its bytes.
TEST_CASE("every item leaves the queue exactly once and the queue stays within its bounds")
{
  CHECK(rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    FairQueue queue({ .maxLength = 8, .maxBytes = 2000 });
    std::map<std::uint64_t, int> removals;
    const auto countRemovals = [&removals](const std::vector<QueuedWork>& items) {
      for (const QueuedWork& work : items) {
        ++removals[work.id.value()];
      }
    };
    base::TimePoint now = kStart;
    for (std::uint64_t id = 0; id < 300; ++id) {
      now += std::chrono::microseconds(random() % 2000);
      QueuedWork work{ WorkId(id), std::to_string(random() % 4), now + 3ms, random() % 700, false };
      PushResult pushed = queue.push(work, kFast, now);
      countRemovals(pushed.evicted);
      removals[id] += pushed.queued ? 0 : 1;
      countRemovals(queue.takeExpired(now));
      if (random() % 2 == 0) {
        if (const auto popped = queue.pop(now)) {
          RC_ASSERT(popped->deadline > now);
          ++removals[popped->id.value()];
        }
      }
      const auto victim = random() % (id + 1);
      removals[victim] += queue.remove(WorkId(victim)) ? 1 : 0;
      RC_ASSERT(queue.length() <= 8U);
      RC_ASSERT(queue.bytes() <= 2000U);
    }
    countRemovals(queue.takeAll());
    RC_ASSERT(queue.empty());
    RC_ASSERT(queue.bytes() == 0U);
    for (std::uint64_t id = 0; id < 300; ++id) {
      RC_ASSERT(removals[id] == 1);
    }
  }));
}

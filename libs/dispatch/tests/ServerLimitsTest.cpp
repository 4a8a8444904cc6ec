#include <dispatch/ServerLimits.h>

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::seconds;

namespace {

constexpr std::size_t kPageSize = 3;
constexpr base::TimePoint kNow{ seconds(1000) };
constexpr RequestLimit kLimit{ 2 };

ServerIncarnation server(unsigned number)
{
  return { base::ServerId("s" + std::to_string(number)), 1 };
}

} // namespace

TEST_CASE("pages of the list of limited servers bring every change to another entry VM")
{
  std::mt19937_64 random(1);
  ServerLimits coordinator;
  ServerLimits vm;
  for (int round = 0; round < 200; ++round) {
    CAPTURE(round);
    for (int change = 0; change < 4; ++change) {
      const ServerIncarnation changed = server(random() % 12);
      const bool isLimited = random() % 2 == 0;
      const double perSecond = 1 + static_cast<double>(random() % 3);
      // A limit ends with the second answer that doesn't name it.
      for (int answer = 0; answer < 2; ++answer) {
        coordinator.onAnswer(
          changed, isLimited ? std::optional(RequestLimit{ perSecond }) : std::nullopt, kNow);
      }
      // Pages may be sent between the changes.
      vm.apply(coordinator.nextPage(kPageSize), kNow);
    }
    for (int page = 0; page < 8; ++page) {
      vm.apply(coordinator.nextPage(kPageSize), kNow);
    }
    CHECK(vm.list() == coordinator.list());
  }
}

TEST_CASE("a list that fits into a message is one page, an empty one too")
{
  ServerLimits limits;
  CHECK(limits.nextPage(kPageSize).isLast);
  for (unsigned i = 0; i < kPageSize; ++i) {
    limits.onAnswer(server(i), kLimit, kNow);
  }
  for (int i = 0; i < 3; ++i) {
    const LimitedServersPage page = limits.nextPage(kPageSize);
    CHECK(page.after == base::ServerId());
    CHECK(page.servers.size() == kPageSize);
    CHECK(page.isLast);
  }
}

// Guards against limits that a new coordinator forgets because its list hadn't changed for long.
TEST_CASE("a VM that takes over keeps the limits that the last heartbeat named")
{
  ServerLimits coordinator;
  ServerLimits vm;
  coordinator.onAnswer(server(1), kLimit, kNow);
  base::TimePoint now = kNow;
  for (; now < kNow + seconds(60); now += seconds(1)) {
    coordinator.onAnswer(server(1), kLimit, now);
    vm.apply(coordinator.nextPage(kPageSize), now);
  }
  CHECK_FALSE(vm.expire(now));
  CHECK(vm.limitOf(server(1)));
  // Without further heartbeats and answers, the limit ends.
  CHECK(vm.expire(now + seconds(30)));
}

#include <algorithm>
#include <doctest/doctest.h>
#include <platform/CallBudget.h>
#include <vector>

using namespace sycamore;
using namespace std::chrono_literals;
using platform::CallBudget;
using Kind = CallBudget::Kind;
using Priority = CallBudget::Priority;

namespace {

const base::TimePoint kStart(1000s);

int admitAll(CallBudget& budget, Kind kind, Priority priority, base::TimePoint now)
{
  int admitted = 0;
  while (admitted < 10000 && budget.admit(kind, priority, now)) {
    ++admitted;
  }
  return admitted;
}

void failUntilOutage(CallBudget& budget, base::TimePoint now, std::mt19937_64& random)
{
  while (!budget.inOutage()) {
    budget.onFailure(now, random);
  }
}

} // namespace

// Guards against a fleet whose VMs together exceed the platform's rate limits.
TEST_CASE("the fleet stays below the rate limits")
{
  constexpr int kVms = 12;
  CallBudget budget({}, kStart);
  budget.setFleetSize(kVms, kStart);
  admitAll(budget, Kind::Write, Priority::Ownership, kStart);
  int admitted = 0;
  for (auto now = kStart; now <= kStart + 10s; now += 10ms) {
    admitted += admitAll(budget, Kind::Write, Priority::Ownership, now);
  }
  CHECK(admitted * kVms <= 400 * 10);
  CHECK(admitted * kVms >= 400 * 10 * 0.8 * 0.95);
}

// Guards against status or configuration calls that use up the budget that a failover needs.
TEST_CASE("calls of low priority leave budget for those of higher priority")
{
  for (const std::size_t vms : { 1U, 12U, 5000U }) {
    CallBudget budget({}, kStart);
    budget.setFleetSize(vms, kStart);
    admitAll(budget, Kind::Write, Priority::Status, kStart);
    CHECK(budget.admit(Kind::Write, Priority::Configuration, kStart) == (vms < 5000));
    admitAll(budget, Kind::Write, Priority::Configuration, kStart);
    CHECK(budget.admit(Kind::Write, Priority::Ownership, kStart));
  }
}

// Guards against users of the budget that have to poll because the time of the next admission is
// wrong.
TEST_CASE("a call is admitted at the time of the next admission")
{
  std::mt19937_64 random(1);
  CallBudget budget({}, kStart);
  budget.setFleetSize(12, kStart);
  for (const Priority priority :
       { Priority::Status, Priority::Configuration, Priority::Ownership }) {
    admitAll(budget, Kind::Read, priority, kStart);
    const auto next = budget.nextAdmission(Kind::Read, priority, kStart);
    CHECK(next > kStart);
    CallBudget copy = budget;
    CHECK_FALSE(copy.admit(Kind::Read, priority, next - 1ms));
    CHECK(copy.admit(Kind::Read, priority, next));
  }
  failUntilOutage(budget, kStart + 10s, random);
  const auto probe = budget.nextAdmission(Kind::Read, Priority::Status, kStart + 10s);
  CHECK(probe > kStart + 10s);
  CHECK(budget.admit(Kind::Read, Priority::Status, probe));
}

// Guards against VMs that keep calling a platform that is down at full rate.
TEST_CASE("only a limited number of probes is sent during an outage")
{
  std::mt19937_64 random(7);
  CallBudget budget({}, kStart);
  failUntilOutage(budget, kStart, random);
  int probes = 0;
  for (auto now = kStart; now < kStart + 60s; now += 10ms) {
    if (budget.admit(Kind::Read, Priority::Ownership, now)) {
      ++probes;
      CHECK_FALSE(budget.admit(Kind::Write, Priority::Ownership, now));
      budget.onFailure(now, random);
    }
  }
  CHECK(probes >= 30);
  CHECK(probes <= 70);
}

// Guards against a budget that waits forever for the answer to a probe.
TEST_CASE("a probe without a result is followed by another")
{
  std::mt19937_64 random(7);
  CallBudget budget({}, kStart);
  failUntilOutage(budget, kStart, random);
  CHECK(budget.admit(Kind::Read, Priority::Ownership, kStart + 5s));
  CHECK(budget.admit(Kind::Read, Priority::Ownership, kStart + 10s));
}

// Guards against a failover that is delayed by a single lost answer.
TEST_CASE("a single failure is not treated as an outage")
{
  std::mt19937_64 random(7);
  CallBudget budget({}, kStart);
  budget.onFailure(kStart, random);
  CHECK(budget.admit(Kind::Write, Priority::Ownership, kStart));
}

// Guards against VMs that all resume their calls at the same time after an outage.
TEST_CASE("after an outage the calls of the fleet resume over a window, high priority first")
{
  constexpr int kVms = 200;
  std::mt19937_64 random(42);
  std::vector<base::Duration> ownership;
  std::vector<base::Duration> status;
  for (int vm = 0; vm < kVms; ++vm) {
    CallBudget budget({}, kStart);
    failUntilOutage(budget, kStart, random);
    budget.onSuccess(kStart, random);
    ownership.push_back(budget.nextAdmission(Kind::Write, Priority::Ownership, kStart) - kStart);
    status.push_back(budget.nextAdmission(Kind::Write, Priority::Status, kStart) - kStart);
  }
  CHECK(*std::max_element(ownership.begin(), ownership.end()) <= 500ms);
  CHECK(*std::min_element(status.begin(), status.end()) >= 1200ms);
  CHECK(*std::max_element(status.begin(), status.end()) <= 2s);
  const auto early = [](const auto& returns, base::Duration end) {
    return std::count_if(returns.begin(), returns.end(), [&](auto time) { return time < end; });
  };
  CHECK(early(ownership, 50ms) < kVms / 5);
  CHECK(early(status, 1280ms) < kVms / 5);
}

// Guards against VMs that keep using their full share while the platform refuses calls.
TEST_CASE("refused calls reduce the share, which then recovers")
{
  CallBudget budget({}, kStart);
  admitAll(budget, Kind::Read, Priority::Ownership, kStart);
  const auto admittedIn = [&](base::TimePoint begin) {
    admitAll(budget, Kind::Read, Priority::Ownership, begin);
    return admitAll(budget, Kind::Read, Priority::Ownership, begin + 100ms);
  };
  const int full = admittedIn(kStart + 1s);
  budget.onRateLimited(kStart + 2s);
  budget.onRateLimited(kStart + 2s);
  CHECK(admittedIn(kStart + 2s) < full / 3);
  for (int i = 0; i < 50; ++i) {
    budget.onRateLimited(kStart + 3s);
  }
  CHECK(budget.nextAdmission(Kind::Read, Priority::Ownership, kStart + 3s) < kStart + 4s);
  CHECK(admittedIn(kStart + 14s) >= full - 1);
}

// Guards against calls made without admission that aren't counted and let a VM exceed its share.
TEST_CASE("calls made without admission delay later calls")
{
  CallBudget budget({}, kStart);
  budget.setFleetSize(40, kStart);
  admitAll(budget, Kind::Write, Priority::Ownership, kStart);
  budget.recordUnadmittedCalls(Kind::Write, 4, kStart);
  CHECK_FALSE(budget.admit(Kind::Write, Priority::Ownership, kStart + 500ms));
  CHECK(budget.admit(Kind::Write, Priority::Ownership, kStart + 700ms));
}

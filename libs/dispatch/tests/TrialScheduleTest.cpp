#include <dispatch/TrialSchedule.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include <random>
#include <vector>

using namespace sycamore;
using dispatch::TrialSchedule;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a new server that gets no requests because every VM prefers other servers.
TEST_CASE("a server that no VM chooses gets a few trial requests over all entry VMs")
{
  constexpr std::size_t kVms = 10;
  base::ManualClock clock;
  const base::TimePoint start = clock.now();
  std::mt19937 random(1);
  std::uniform_real_distribution<double> phase(0, 1);
  std::vector<TrialSchedule> turns;
  for (std::size_t i = 0; i < kVms; ++i) {
    turns.emplace_back(phase(random), clock.now());
  }
  unsigned early = 0;
  unsigned all = 0;
  for (int step = 0; step < 1000; ++step) {
    for (TrialSchedule& turn : turns) {
      if (turn.isDue(kVms, clock.now())) {
        turn.onRequestSent(clock.now());
        ++all;
        early += clock.now() < start + seconds(4) ? 1 : 0;
      }
    }
    clock.advance(milliseconds(100));
  }
  CHECK(early >= 1);
  CHECK(all == kVms);
}

TEST_CASE("a server in use needs no trial")
{
  base::ManualClock clock;
  TrialSchedule turn(0.5, clock.now());
  clock.advance(seconds(4));
  turn.onRequestSent(clock.now());
  clock.advance(seconds(99));
  CHECK_FALSE(turn.isDue(10, clock.now()));
  clock.advance(seconds(1));
  CHECK(turn.isDue(10, clock.now()));
}

// Guards against a server that no VM tries again once all have learned that it was slow.
TEST_CASE("after a request of another VM, a trial of one of the VMs is due within some seconds")
{
  constexpr unsigned kVms = 40;
  base::ManualClock clock;
  std::vector<TrialSchedule> schedules(kVms, TrialSchedule(0.5, clock.now()));
  for (unsigned i = 0; i < kVms; ++i) {
    schedules[i].onRequestOfOtherVm((i + 0.5) / kVms, clock.now());
  }
  const auto due = [&] {
    return std::ranges::count_if(schedules,
                                 [&](const auto& s) { return s.isDue(kVms, clock.now()); });
  };
  CHECK(due() == 0);
  clock.advance(std::chrono::seconds(10));
  CHECK(due() >= 1);
  CHECK(due() <= 2);
}

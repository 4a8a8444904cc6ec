#include <dispatch/ColdStartShare.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace sycamore;
using dispatch::ColdStartShare;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Returns the maximum number of requests in any second if each entry VM sends as soon as it may.
std::size_t maxInOneSecond(std::size_t entryVms, double perSecond)
{
  base::ManualClock clock;
  std::mt19937_64 random(7);
  std::vector<ColdStartShare> shares;
  for (std::size_t i = 0; i < entryVms; ++i) {
    shares.emplace_back(std::uniform_real_distribution<double>(0, 1)(random));
  }
  std::vector<base::TimePoint> sent;
  for (int step = 0; step < 1000; ++step) {
    for (ColdStartShare& share : shares) {
      if (share.tryTake(perSecond, entryVms, clock.now())) {
        sent.push_back(clock.now());
      }
    }
    clock.advance(milliseconds(10));
  }
  std::size_t most = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    const auto end = std::upper_bound(sent.begin(), sent.end(), sent[i] + seconds(1));
    most = std::max(most, static_cast<std::size_t>(end - sent.begin()) - i);
  }
  return most;
}

} // namespace

// Guards against an overload of a new server that all entry VMs choose at the same moment (seen in
// magnolia-verse scale-2).
TEST_CASE("a cold server gets no more than its rate when all entry VMs choose it at once")
{
  CHECK(maxInOneSecond(10, 18) <= 18);
  CHECK(maxInOneSecond(12, 15) <= 15);
  CHECK(maxInOneSecond(3, 15) <= 15);
}

TEST_CASE("a cold server isn't overloaded by many entry VMs with small shares")
{
  CHECK(maxInOneSecond(67, 20) <= 23);
  CHECK(maxInOneSecond(86, 18) <= 20);
}

TEST_CASE("an entry VM with a small share still gets to send")
{
  base::ManualClock clock;
  ColdStartShare share(0.5);
  bool sent = false;
  for (int i = 0; i < 200 && !sent; ++i) {
    sent = share.tryTake(20, 67, clock.now());
    clock.advance(milliseconds(100));
  }
  CHECK(sent);
}

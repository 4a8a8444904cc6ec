#include "model/SmallModel.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <mutex>
#include <thread>
#include <vector>

using namespace sycamore::ownership;
using namespace sycamore::ownership::model;

namespace {

struct Exploration
{
  std::uint64_t states = 0;
  std::string violation;
  std::vector<int> path;
};

template<OwnershipRules Rules>
void explore(const SmallModel<Rules>& model, int depth, std::vector<int>& path, Exploration& result)
{
  if (depth == 0 || !result.violation.empty()) {
    return;
  }
  for (int choice = 0; choice < SmallModel<Rules>::kChoices; ++choice) {
    SmallModel<Rules> next = model;
    path.push_back(choice);
    next.choose(choice);
    next.run(sycamore::base::milliseconds(300));
    ++result.states;
    if (next.violation() && result.violation.empty()) {
      result.violation = *next.violation();
      result.path = path;
    }
    explore(next, depth - 1, path, result);
    path.pop_back();
  }
}

// Explores all sequences on four threads, which share out the first choices.
template<OwnershipRules Rules>
Exploration exploreAll(int depth)
{
  const SmallModel<Rules> start;
  REQUIRE(start.granted());
  Exploration total;
  std::mutex mutex;
  const auto branch = [&](int first) {
    SmallModel<Rules> model = start;
    model.choose(first);
    model.run(sycamore::base::milliseconds(300));
    Exploration part;
    std::vector<int> path{ first };
    explore(model, depth - 1, path, part);
    const std::lock_guard lock(mutex);
    total.states += part.states + 1;
    if (total.violation.empty() && !part.violation.empty()) {
      total.violation = part.violation;
      total.path = part.path;
    }
  };
  const auto worker = [&](int from) {
    for (int first = from; first < SmallModel<Rules>::kChoices; first += 4) {
      branch(first);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back(worker, i);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return total;
}

struct NoWait : StandardRules
{
  static constexpr bool kWaitForGrantExpiry = false;
};

struct OneVote : StandardRules
{
  static constexpr std::size_t majority(std::size_t) { return 1; }
};

struct NoAbstention : StandardRules
{
  static constexpr bool kAbstainAfterRestart = false;
};

} // namespace

// Guards against a sequence of network cuts and restarts, however unlikely, in which a server and
// its successor may both execute requests of a shard. OWNERSHIP_DEPTH sets the length of the
// sequences.
TEST_CASE("every short sequence of cuts and restarts keeps one owner and one holder")
{
  const char* const depth = std::getenv("OWNERSHIP_DEPTH");
  const Exploration result = exploreAll<StandardRules>(depth ? std::atoi(depth) : 6);
  MESSAGE("states explored: " << result.states);
  CHECK(result.violation == "");
}

// Guards against an exploration that does not reach the states in which the rules matter.
TEST_CASE("the exploration finds a violation for each broken vote rule")
{
  CHECK(exploreAll<NoWait>(5).violation != "");
  CHECK(exploreAll<OneVote>(5).violation != "");
  CHECK(exploreAll<NoAbstention>(5).violation != "");
}

#include "OwnershipModel.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace sycamore::dispatch;

namespace {

constexpr std::uint64_t kDefaultSeeds = 200;
// Seeds that failed once. 62 and 163: a server carried out a grant of the previous coordinator
// after it had released the keys. 7687 and 8221: a planned move was under way at the end, which is
// allowed.
constexpr std::uint64_t kFailedSeeds[] = { 62, 163, 7687, 8221 };

// Returns the number of seeds to play, from the environment for long runs by hand.
std::uint64_t seedsToPlay()
{
  const char* const text = std::getenv("OWNERSHIP_SEEDS");
  return text == nullptr ? kDefaultSeeds : std::strtoull(text, nullptr, 10);
}

std::uint64_t firstSeed()
{
  const char* const text = std::getenv("OWNERSHIP_FIRST_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

// Returns the first seed that shows a deliberate fault; 0 if none of the first ones does.
std::uint64_t firstSeedThatShows(DeliberateFault fault)
{
  for (std::uint64_t seed = 1; seed <= kDefaultSeeds; ++seed) {
    if (!OwnershipModel(seed, fault).play().empty()) {
      return seed;
    }
  }
  return 0;
}

} // namespace

// Guards against two owners of a key, work under two owners and outdated fencing tokens, in random
// sequences of failures.
TEST_CASE("no key has two owners in random sequences of failures")
{
  for (const std::uint64_t seed : kFailedSeeds) {
    CAPTURE(seed);
    CHECK(OwnershipModel(seed).play() == "");
  }
  const std::uint64_t first = firstSeed();
  for (std::uint64_t seed = first; seed < first + seedsToPlay(); ++seed) {
    CAPTURE(seed);
    const std::string violation = OwnershipModel(seed).play();
    CHECK(violation == "");
  }
}

// Shows that the checks of the model would see these faults.
TEST_CASE("deliberate faults of the ownership of keys are seen")
{
  const auto isSeen = [](const char* name, DeliberateFault fault) {
    const std::uint64_t seed = firstSeedThatShows(fault);
    MESSAGE(name << ": seed " << seed << ", " << OwnershipModel(seed, fault).play());
    CHECK(seed != 0);
  };
  isSeen("unanswered grants forgotten", DeliberateFault::UnansweredGrantsForgotten);
  isSeen("fencing token not raised", DeliberateFault::FenceNotRaised);
  isSeen("release answered early", DeliberateFault::ReleaseAnsweredEarly);
}

#include "OwnershipModel.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>
#include <iterator>
#include <map>
#include <sstream>

using namespace sycamore::dispatch;

namespace {

// Seeds of a run with the basic events alone or several other kinds, and with one kind besides.
constexpr std::uint64_t kBasicSeeds = 200;
constexpr std::uint64_t kSeedsPerKind = 40;
// Seeds of a run with a large fleet, which take much longer.
constexpr std::uint64_t kFleetSeeds = 4;

struct FailedSeed
{
  std::uint64_t seed = 0;
  OwnershipDraws kinds;
};

// Returns the seeds that failed once.
std::vector<FailedSeed> failedSeeds()
{
  return {
    // A server carried out a grant of the previous coordinator after it had released the keys.
    { 62, {} },
    { 163, {} },
    // A planned move was under way at the end, which is allowed.
    { 7687, {} },
    { 8221, {} },
    // A later life of a server answered the release for the earlier one, which still held the keys.
    { 1, { OwnershipDraw::LaterLife } },
    // A coordinator counted its takeover as confirmed from the handling of a late answer.
    { 21, { OwnershipDraw::LateTakeover } },
    { 61, { OwnershipDraw::LateTakeover } },
    // A takeover didn't wait for another process of its VM's name.
    { 122, { OwnershipDraw::SameVmName } },
    { 170, { OwnershipDraw::SameVmName } },
    // A predecessor's report shortened the wait for grants of the process's own first term.
    { 151, { OwnershipDraw::SecondTerm } },
    { 220, { OwnershipDraw::SecondTerm } },
    // A call of a killed process was on its way for 4 s, which the users' rule doesn't count.
    { 800, { OwnershipDraw::LateTakeover, OwnershipDraw::SameVmName, OwnershipDraw::LateWrite } },
    // A copy of an earlier answer counted for a grant that was carried out later.
    { 2, { OwnershipDraw::CopiedGrantAnswer } },
    // The load of a service without requests never ended, and planned moves followed it.
    { 11453, { OwnershipDraw::LateGrant } },
    // A server's end let its keys move at once, in a term that the store had forgotten.
    { 423, { OwnershipDraw::RestoredStore } },
    { 1521, { OwnershipDraw::RestoredStore } },
    // A refused renewal raised a former owner's token to that of an owner by a forgotten record.
    { 1101,
      { OwnershipDraw::RestoredStore,
        OwnershipDraw::Cut,
        OwnershipDraw::LateWrite,
        OwnershipDraw::SameVmName,
        OwnershipDraw::LaterLife } },
  };
}

// Returns a number from the environment, for long runs by hand.
std::uint64_t numberFromEnvironment(const char* name, std::uint64_t otherwise)
{
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Returns the kinds of events that are named in the environment, separated by commas. If none is,
// returns up to three that follow from the seed: with more of them, coordinators change so often
// that few keys move.
OwnershipDraws drawsFor(std::uint64_t seed)
{
  OwnershipDraws draws;
  const char* const text = std::getenv("OWNERSHIP_DRAWS");
  if (text == nullptr) {
    OwnershipDraws allowed = allowedOwnershipDraws();
    // The kinds of a seed stay what they were before these were added. They have runs of their own.
    allowed.erase(OwnershipDraw::LateRead);
    allowed.erase(OwnershipDraw::LateHandling);
    allowed.erase(OwnershipDraw::LargeFleet);
    RandomDraws random(seed);
    for (unsigned i = 0; i < 3; ++i) {
      draws.insert(
        *std::next(allowed.begin(), static_cast<std::ptrdiff_t>(random.below(allowed.size()))));
    }
    return draws;
  }
  std::istringstream names(text);
  for (std::string name; std::getline(names, name, ',');) {
    for (const NamedOwnershipDraw& named : allOwnershipDraws()) {
      if (named.name == name) {
        draws.insert(named.draw);
      }
    }
  }
  return draws;
}

// Plays seeds with some kinds of events, and checks that none breaks a promise. Writes how many
// broke which one.
void playSeeds(const std::string& name,
               const std::function<OwnershipDraws(std::uint64_t)>& kindsFor,
               std::uint64_t otherwise)
{
  const std::uint64_t first = numberFromEnvironment("OWNERSHIP_FIRST_SEED", 1);
  const std::uint64_t seeds = numberFromEnvironment("OWNERSHIP_SEEDS", otherwise);
  std::map<OwnershipBreach, unsigned> counts;
  unsigned broken = 0;
  std::string texts;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    OwnershipModel model(seed, DeliberateFault::None, kindsFor(seed));
    const std::string text = model.play();
    if (text.empty()) {
      continue;
    }
    for (const OwnershipBreach breach : model.check().breaches()) {
      ++counts[breach];
    }
    if (++broken <= 5) {
      texts += "\n  seed " + std::to_string(seed) + ": " + text;
    }
  }
  MESSAGE(name << ": " << broken << " of " << seeds << " seeds broken, long holds "
               << counts[OwnershipBreach::LongHold] << ", short ones "
               << counts[OwnershipBreach::ShortHold] << ", work " << counts[OwnershipBreach::Work]
               << ", fencing tokens " << counts[OwnershipBreach::Fence] << ", no owner "
               << counts[OwnershipBreach::NoOwner] << texts);
  CHECK(broken == 0);
}

void playKind(OwnershipDraw draw, std::uint64_t seeds = kSeedsPerKind)
{
  for (const NamedOwnershipDraw& named : allOwnershipDraws()) {
    if (named.draw == draw) {
      playSeeds(
        named.name, [&](std::uint64_t) { return OwnershipDraws{ draw }; }, seeds);
    }
  }
}

// Returns the first seed that shows a deliberate fault and is sound without it; 0 if none of the
// first ones does.
std::uint64_t firstSeedThatShows(DeliberateFault fault, const OwnershipDraws& kinds)
{
  for (std::uint64_t seed = 1; seed <= kBasicSeeds; ++seed) {
    if (!OwnershipModel(seed, fault, kinds).play().empty() &&
        OwnershipModel(seed, DeliberateFault::None, kinds).play().empty()) {
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
  for (const FailedSeed& failed : failedSeeds()) {
    CAPTURE(failed.seed);
    CHECK(OwnershipModel(failed.seed, DeliberateFault::None, failed.kinds).play() == "");
  }
  playSeeds(
    "basic", [](std::uint64_t) { return OwnershipDraws{}; }, kBasicSeeds);
}

TEST_CASE("no key has two owners while an earlier life of a server still runs")
{
  playKind(OwnershipDraw::LaterLife);
}

TEST_CASE("no key has two owners when the answer to a takeover is handled late")
{
  playKind(OwnershipDraw::LateTakeover);
}

TEST_CASE("no key has two owners when a process of the coordinator's VM name takes over")
{
  playKind(OwnershipDraw::SameVmName);
}

TEST_CASE("no key has two owners in series of terms")
{
  playKind(OwnershipDraw::SeriesOfTerms);
}

TEST_CASE("no key has two owners when a process begins its term twice")
{
  playKind(OwnershipDraw::SecondTerm);
}

TEST_CASE("no key has two owners when a grant gets a copy of an earlier answer")
{
  playKind(OwnershipDraw::CopiedGrantAnswer);
}

TEST_CASE("no key has two owners when answers on kept connections belong to other calls")
{
  playKind(OwnershipDraw::ForeignAnswer);
}

TEST_CASE("no key has two owners when grants are carried out after newer ones")
{
  playKind(OwnershipDraw::LateGrant);
}

TEST_CASE("no key has two owners when writes to the store take effect late")
{
  playKind(OwnershipDraw::LateWrite);
}

TEST_CASE("no key has two owners when a cut separates coordinators and servers")
{
  playKind(OwnershipDraw::Cut);
}

TEST_CASE("no key has two owners when the store comes back from an older copy")
{
  playKind(OwnershipDraw::RestoredStore);
}

TEST_CASE("no key has two owners when busy servers read new connections late")
{
  playKind(OwnershipDraw::LateRead);
  playSeeds(
    "late-read and cut",
    [](std::uint64_t) {
      return OwnershipDraws{ OwnershipDraw::LateRead, OwnershipDraw::Cut };
    },
    kSeedsPerKind);
  playSeeds(
    "late-read and several kinds",
    [](std::uint64_t seed) {
      OwnershipDraws kinds = drawsFor(seed);
      kinds.insert(OwnershipDraw::LateRead);
      return kinds;
    },
    kSeedsPerKind);
}

TEST_CASE("no key has two owners when a coordinator handles answers and timeouts late")
{
  playKind(OwnershipDraw::LateHandling);
}

TEST_CASE("no key has two owners in a large fleet whose hot keys are spread and merged")
{
  playKind(OwnershipDraw::LargeFleet, kFleetSeeds);
}

// Known to fail: a successor reckons that its predecessor gives up its calls in time.
TEST_CASE("no key has two owners after a coordinator that gave up its last calls late")
{
  const OwnershipDraws fleet{ OwnershipDraw::LargeFleet, OwnershipDraw::LateHandling };
  OwnershipDraws withCut = fleet;
  withCut.insert(OwnershipDraw::Cut);
  OwnershipDraws withLateRead = withCut;
  withLateRead.insert(OwnershipDraw::LateRead);
  const std::vector<FailedSeed> seeds{
    { 35, fleet }, { 65, fleet }, { 38, withCut }, { 135, withCut }, { 88, withLateRead }
  };
  for (const FailedSeed& failed : seeds) {
    CAPTURE(failed.seed);
    CHECK(OwnershipModel(failed.seed, DeliberateFault::None, failed.kinds).play() == "");
  }
}

TEST_CASE("no key has two owners when several kinds of events come together")
{
  playSeeds("several kinds", drawsFor, kBasicSeeds);
}

// Shows that the checks of the model would see these faults.
TEST_CASE("deliberate faults of the ownership of keys are seen")
{
  const auto isSeen =
    [](const std::string& name, DeliberateFault fault, const OwnershipDraws& kinds) {
      const std::uint64_t seed = firstSeedThatShows(fault, kinds);
      MESSAGE(name << ": seed " << seed << ", " << OwnershipModel(seed, fault, kinds).play());
      CHECK(seed != 0);
    };
  isSeen("unanswered grants forgotten", DeliberateFault::UnansweredGrantsForgotten, {});
  isSeen("fencing token not raised", DeliberateFault::FenceNotRaised, {});
  isSeen("release answered early", DeliberateFault::ReleaseAnsweredEarly, {});
  isSeen("wait of 1 s for predecessors",
         DeliberateFault::ShortWaitForPredecessors,
         { OwnershipDraw::Cut });
  isSeen("grant counted from its sending", DeliberateFault::GrantCountedFromSending, {});
  isSeen("release booked on any 200",
         DeliberateFault::AnyAnswerEndsRelease,
         { OwnershipDraw::ForeignAnswer });
  isSeen("every 421 taken for an end",
         DeliberateFault::EveryMisdirectionEndsServer,
         { OwnershipDraw::ForeignAnswer });
  isSeen("takeover counted from its answer",
         DeliberateFault::TakeoverCountedFromAnswer,
         { OwnershipDraw::LateTakeover });
  isSeen("VM name taken for the process",
         DeliberateFault::VmNameTakenForProcess,
         { OwnershipDraw::SameVmName });
  isSeen(
    "terms that share an epoch", DeliberateFault::TermsShareEpoch, { OwnershipDraw::SecondTerm });
  isSeen("restored record trusted",
         DeliberateFault::RestoredRecordTrusted,
         { OwnershipDraw::RestoredStore });
  isSeen("continued without confirmation",
         DeliberateFault::ContinuedWithoutConfirmation,
         { OwnershipDraw::RestoredStore, OwnershipDraw::LateTakeover, OwnershipDraw::LateWrite });
  isSeen("copied answer accepted",
         DeliberateFault::CopiedAnswerAccepted,
         { OwnershipDraw::CopiedGrantAnswer });
  isSeen("grants on unread connections",
         DeliberateFault::GrantsOnUnreadConnections,
         { OwnershipDraw::LateRead, OwnershipDraw::Cut });
  isSeen("unanswered grants forgotten in a large fleet",
         DeliberateFault::UnansweredGrantsForgotten,
         { OwnershipDraw::LargeFleet });
  isSeen("release answered early in a large fleet",
         DeliberateFault::ReleaseAnsweredEarly,
         { OwnershipDraw::LargeFleet });
}

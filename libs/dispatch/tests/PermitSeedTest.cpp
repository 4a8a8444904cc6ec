#include "PermitModel.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <random>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kDefaultSeeds = 150;

// Returns the number of seeds to play, from the environment for long runs by hand.
std::uint64_t seedsToPlay()
{
  const char* const text = std::getenv("PERMIT_SEEDS");
  return text == nullptr ? kDefaultSeeds : std::strtoull(text, nullptr, 10);
}

PermitConditions randomConditions(std::mt19937_64& random)
{
  const auto real = [&random](double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
  };
  PermitConditions conditions;
  conditions.vms = static_cast<std::size_t>(real(2, 120));
  conditions.perSecond = real(0.3, 40);
  const double demand = conditions.perSecond * real(0.5, 8);
  conditions.lossShare = real(0, 0.2);
  conditions.takesOver = real(0, 1) < 0.7;
  conditions.cutsOff = real(0, 1) < 0.5;
  const double urgentShare = std::max(0.0, real(-1, 1));
  conditions.patience = milliseconds(static_cast<int>(real(0, 800)));
  conditions.demands = { { 0, demand * urgentShare }, { 2, demand * (1 - urgentShare) } };
  return conditions;
}

} // namespace

// Guards against more requests than a server's limit allows, whatever happens to the messages and
// to the VM that issues permits.
TEST_CASE("permits keep the limit of a server with lost and late messages, takeovers and cuts")
{
  for (std::uint64_t seed = 1; seed <= seedsToPlay(); ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const PermitConditions conditions = randomConditions(random);
    PermitModel model(seed, conditions);
    for (int phase = 0; phase < 4; ++phase) {
      model.run(std::chrono::seconds(3));
      if (conditions.takesOver) {
        model.takeOver();
      }
      if (conditions.cutsOff) {
        model.setCutOff(phase % 2 == 0 ? random() % conditions.vms : 0);
      }
    }
    model.run(std::chrono::seconds(5));
    CHECK(model.mostInWindow() <= model.allowed());
  }
}

// Guards against a limit that is kept by leaving most of it unused.
TEST_CASE("under load, permits use nearly all of a server's limit")
{
  for (const PermitConditions& conditions : {
         PermitConditions{ 10, 2.6, { { 0, 15 } } },
         PermitConditions{ 100, 2.6, { { 0, 15 } } },
         PermitConditions{ 300, 20, { { 0, 100 } } },
         PermitConditions{ 10, 60, { { 0, 200 } } },
         PermitConditions{ 10, 2.6, { { 0, 1 }, { 2, 14 } } },
         PermitConditions{ 100, 2.6, { { 0, 1 }, { 1, 2 }, { 2, 12 } } },
         PermitConditions{ 300, 20, { { 0, 10 }, { 2, 90 } } },
         PermitConditions{ 10, 60, { { 0, 20 }, { 1, 20 }, { 2, 160 } } },
       }) {
    CAPTURE(conditions.vms);
    CAPTURE(conditions.perSecond);
    PermitModel model(7, conditions);
    constexpr double kSeconds = 30;
    model.run(std::chrono::seconds(30));
    const double used = static_cast<double>(model.arrivals()) / (conditions.perSecond * kSeconds);
    CHECK(used >= 0.9);
    CHECK(used <= 1.05);
    CHECK(model.mostInWindow() <= model.allowed());
  }
}

TEST_CASE("without an answer to its questions a VM keeps to a share of the limit")
{
  PermitConditions conditions{ 10, 5, { { 0, 50 } } };
  conditions.lossShare = 1;
  PermitModel model(3, conditions);
  model.run(std::chrono::seconds(20));
  CHECK(model.arrivals() > 10);
  CHECK(model.mostInWindow() <= model.allowed());
}

TEST_CASE("a limit ends with answers that don't name it, not with older ones")
{
  base::ManualClock clock;
  clock.advance(std::chrono::seconds(1));
  RequestPermits permits(0.5);
  const base::TimePoint before = clock.now();
  clock.advance(milliseconds(10));
  CHECK(permits.onAnswer(RequestLimit{ 2 }, before, clock.now()));
  permits.onAnswer(std::nullopt, before, clock.now());
  permits.onAnswer(std::nullopt, before, clock.now());
  CHECK(permits.limit());
  permits.onAnswer(std::nullopt, clock.now(), clock.now());
  CHECK(permits.limit());
  permits.onAnswer(std::nullopt, clock.now(), clock.now());
  CHECK_FALSE(permits.limit());
}

TEST_CASE("numbers that no server can mean as a limit never ban it")
{
  CHECK_FALSE(usableLimit(-1));
  CHECK_FALSE(usableLimit(std::numeric_limits<double>::quiet_NaN()));
  for (const double number : { 0.0, 1e-300, 1e300, std::numeric_limits<double>::infinity() }) {
    CAPTURE(number);
    const auto limit = usableLimit(number);
    REQUIRE(limit);
    CHECK(limit->perSecond >= 0.25);
    CHECK(limit->perSecond <= 1e6);
  }
}

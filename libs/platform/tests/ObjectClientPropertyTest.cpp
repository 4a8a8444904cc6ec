#include "LossyPlatform.h"

#include <doctest/doctest.h>
#include <map>
#include <platform/ObjectClient.h>

using namespace sycamore;
using namespace sycamore::platform;

namespace {

const base::TimePoint kDeadline(std::chrono::seconds(2000));

// Reported outcomes of writes by their tokens.
struct Outcomes
{
  std::map<std::string, base::Version> confirmed;
  std::vector<std::string> withoutEffect;
  std::vector<std::string> overwritten;
  unsigned inDoubt = 0;
};

void recordOutcome(const WriteResult& result, const std::string& token, Outcomes& outcomes)
{
  if (const auto* confirmed = std::get_if<Confirmed>(&result)) {
    outcomes.confirmed[token] = confirmed->version;
  } else if (const auto* conflict = std::get_if<Conflict>(&result)) {
    (conflict->maybeOverwritten ? outcomes.overwritten : outcomes.withoutEffect).push_back(token);
  } else {
    ++outcomes.inDoubt;
  }
}

void writeOnce(ObjectClient<LossyPlatform>& client,
               const std::string& token,
               base::Version expected,
               bool resolvesInDoubt,
               Outcomes& outcomes)
{
  const nlohmann::json value{ { "writer", token } };
  try {
    WriteResult result = client.put("shardmap", "layout", expected, value, kDeadline);
    for (int i = 0; resolvesInDoubt && std::holds_alternative<InDoubt>(result) && i < 50; ++i) {
      result = client.resolveInDoubt("shardmap", "layout", expected, value, kDeadline);
    }
    recordOutcome(result, token, outcomes);
  } catch (const PlatformError&) {
    outcomes.withoutEffect.push_back(token);
  }
}

Outcomes runWriters(LossyPlatform& platform, std::uint64_t seed)
{
  ObjectClient<LossyPlatform> client(platform);
  Outcomes outcomes;
  std::mt19937_64 random(seed);
  for (int i = 0; i < 40; ++i) {
    // Some writers expect an outdated version.
    const std::uint64_t current = platform.currentVersion();
    const std::uint64_t expected = random() % 4 == 0 ? current / 2 : current;
    writeOnce(
      client, "vm/" + std::to_string(i), base::Version(expected), random() % 2 == 0, outcomes);
  }
  platform.deliverAll();
  return outcomes;
}

} // namespace

// Guards against wrongly reported outcomes when the platform loses, delays or reorders calls: an
// assignment that is acknowledged without effect, or one reported as failed that takes effect
// later.
TEST_CASE("reported outcomes of writes hold whichever calls and answers are lost or delayed")
{
  std::size_t confirmed = 0;
  std::size_t overwritten = 0;
  unsigned inDoubt = 0;
  for (std::uint64_t seed = 0; seed < 3000; ++seed) {
    CAPTURE(seed);
    LossyPlatform platform(seed);
    const Outcomes outcomes = runWriters(platform, seed + 1);
    for (const auto& [token, version] : outcomes.confirmed) {
      REQUIRE(platform.versionsOf(token) == std::vector<std::uint64_t>{ version.value() });
    }
    for (const std::string& token : outcomes.withoutEffect) {
      REQUIRE(platform.versionsOf(token).empty());
    }
    for (const std::string& token : outcomes.overwritten) {
      const auto versions = platform.versionsOf(token);
      REQUIRE(versions.size() <= 1);
      REQUIRE((versions.empty() || versions[0] < platform.currentVersion()));
    }
    confirmed += outcomes.confirmed.size();
    overwritten += outcomes.overwritten.size();
    inDoubt += outcomes.inDoubt;
  }
  // Each kind of outcome occurred often enough for the checks above to be meaningful.
  CHECK(confirmed > 10000);
  CHECK(overwritten > 1000);
  CHECK(inDoubt > 1000);
}

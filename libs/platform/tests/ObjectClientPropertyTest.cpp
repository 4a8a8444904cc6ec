#include "LossyPlatform.h"

#include <doctest/doctest.h>
#include <map>
#include <platform/ObjectClient.h>

using namespace sycamore;
using namespace sycamore::platform;

namespace {

const base::TimePoint kDeadline(std::chrono::seconds(2000));

// What was reported about a write, by its token.
struct Reports
{
  std::map<std::string, base::Version> confirmed;
  std::vector<std::string> withoutEffect;
  std::vector<std::string> overwritten;
  unsigned inDoubt = 0;
};

void note(const WriteResult& result, const std::string& token, Reports& reports)
{
  if (const auto* confirmed = std::get_if<Confirmed>(&result)) {
    reports.confirmed[token] = confirmed->version;
  } else if (const auto* conflict = std::get_if<Conflict>(&result)) {
    (conflict->maybeOverwritten ? reports.overwritten : reports.withoutEffect).push_back(token);
  } else {
    ++reports.inDoubt;
  }
}

void writeOnce(ObjectClient<LossyPlatform>& client,
               const std::string& token,
               base::Version expected,
               bool settles,
               Reports& reports)
{
  const nlohmann::json value{ { "writer", token } };
  try {
    WriteResult result = client.put("shardmap", "layout", expected, value, kDeadline);
    for (int i = 0; settles && std::holds_alternative<InDoubt>(result) && i < 50; ++i) {
      result = client.resolveInDoubt("shardmap", "layout", expected, value, kDeadline);
    }
    note(result, token, reports);
  } catch (const PlatformError&) {
    reports.withoutEffect.push_back(token);
  }
}

Reports runWriters(LossyPlatform& platform, std::uint64_t seed)
{
  ObjectClient<LossyPlatform> client(platform);
  Reports reports;
  std::mt19937_64 random(seed);
  for (int i = 0; i < 40; ++i) {
    // Some writers know an old version.
    const std::uint64_t current = platform.currentVersion();
    const std::uint64_t known = random() % 4 == 0 ? current / 2 : current;
    writeOnce(client, "vm/" + std::to_string(i), base::Version(known), random() % 2 == 0, reports);
  }
  platform.deliverAll();
  return reports;
}

} // namespace

// Guards against wrong reports of writes over a platform that loses, delays and reorders: an
// assignment acknowledged without effect, or one reported as failed that takes effect later.
TEST_CASE("reports about writes hold whatever is lost or late")
{
  std::size_t confirmed = 0;
  std::size_t overwritten = 0;
  unsigned inDoubt = 0;
  for (std::uint64_t seed = 0; seed < 3000; ++seed) {
    CAPTURE(seed);
    LossyPlatform platform(seed);
    const Reports reports = runWriters(platform, seed + 1);
    for (const auto& [token, version] : reports.confirmed) {
      REQUIRE(platform.versionsOf(token) == std::vector<std::uint64_t>{ version.value() });
    }
    for (const std::string& token : reports.withoutEffect) {
      REQUIRE(platform.versionsOf(token).empty());
    }
    for (const std::string& token : reports.overwritten) {
      const auto versions = platform.versionsOf(token);
      REQUIRE(versions.size() <= 1);
      REQUIRE((versions.empty() || versions[0] < platform.currentVersion()));
    }
    confirmed += reports.confirmed.size();
    overwritten += reports.overwritten.size();
    inDoubt += reports.inDoubt;
  }
  // Each kind of report occurred, so the checks above checked something.
  CHECK(confirmed > 10000);
  CHECK(overwritten > 1000);
  CHECK(inDoubt > 1000);
}

#include "Baselines.h"
#include "Deployment.h"
#include "Measurements.h"

#include <base/KeyHash.h>

#include <algorithm>

namespace sycamore::placement::quality {

namespace {

// All moves in this time after the event count, also second moves after the minimum time.
constexpr int kEventSeconds = 150;
constexpr std::uint64_t kSampleKeys = 100'000;

struct Churn
{
  double moved = 0;
  double least = 0;
  double worstImbalance = 0;
  double earlyRepeats = 0;

  void add(const Churn& other)
  {
    moved += other.moved;
    least += other.least;
    worstImbalance = std::max(worstImbalance, other.worstImbalance);
    earlyRepeats += other.earlyRepeats;
  }
};

Churn afterEvent(Deployment deployment, double least)
{
  const long before = deployment.moves();
  for (int second = 0; second < kEventSeconds; ++second) {
    deployment.runExpectedSecond();
  }
  return { static_cast<double>(deployment.moves() - before),
           least,
           deployment.imbalance(),
           static_cast<double>(deployment.earlyRepeats()) };
}

Churn afterLeave(Deployment deployment, const Scenario& scenario, std::uint32_t server)
{
  const base::ServerId name(scenario.name + "-" + std::to_string(server));
  const auto owned = static_cast<double>(deployment.map().shardsOf(name).size());
  deployment.leave(server);
  return afterEvent(std::move(deployment), owned);
}

Churn afterJoin(Deployment deployment, const Scenario& scenario, std::uint32_t server)
{
  const std::size_t units = deployment.map().rowCount();
  deployment.join(server);
  return afterEvent(std::move(deployment), static_cast<double>(units) / (scenario.servers + 1));
}

// Keys whose owner changes when the last of the larger set of servers leaves or joins.
Churn baselineChurn(const Baseline& smaller, const Baseline& larger, std::uint32_t last, bool join)
{
  Churn churn;
  for (std::uint64_t i = 0; i < kSampleKeys; ++i) {
    const std::uint64_t hash = base::hashBytes(std::to_string(i));
    churn.moved += smaller.owner(hash) != larger.owner(hash) ? 1 : 0;
    churn.least += !join && larger.owner(hash) == last ? 1 : 0;
  }
  if (join) {
    churn.least = static_cast<double>(kSampleKeys) / (last + 1);
  }
  return churn;
}

Churn baselineChurn(const Scenario& scenario, std::size_t which, bool join)
{
  const std::uint32_t larger = scenario.servers + (join ? 1 : 0);
  const auto without = makeBaselines(serverHashes(scenario, larger - 1));
  const auto with = makeBaselines(serverHashes(scenario, larger));
  return baselineChurn(*without[which], *with[which], larger - 1, join);
}

// One line per baseline, and the imbalance after the event.
void addResults(std::vector<Result>& results,
                const Scenario& scenario,
                const Churn& churn,
                bool join,
                int runs)
{
  const std::string name = scenario.name + (join ? "/join" : "/leave");
  const auto baselines = makeBaselines(serverHashes(scenario, scenario.servers));
  for (std::size_t i = 0; i < baselines.size(); ++i) {
    const Churn baseline = baselineChurn(scenario, i, join);
    results.push_back({ "churn_ratio",
                        name,
                        churn.moved / churn.least,
                        "moved/least",
                        1.1,
                        baselines[i]->name(),
                        baseline.moved / baseline.least,
                        runs });
  }
  // With a 21st server the hottest of 100 million keys alone exceeds 1.10.
  const auto bound = join ? std::nullopt : std::optional(1.10);
  results.push_back({ "imbalance", name, churn.worstImbalance, "max/mean", bound, {}, {}, runs });
  results.push_back({ "early_repeat_moves", name, churn.earlyRepeats, "moves", 0.0, {}, {}, runs });
}

} // namespace

std::vector<Result> measureChurn(const Scenario& scenario, const std::vector<Deployment>& settled)
{
  Churn leaves;
  Churn joins;
  for (const Deployment& deployment : settled) {
    for (std::uint32_t server = 0; server < scenario.servers; ++server) {
      leaves.add(afterLeave(deployment, scenario, server));
    }
    joins.add(afterJoin(deployment, scenario, scenario.servers));
  }
  const int runs = static_cast<int>(settled.size());
  std::vector<Result> results;
  addResults(results, scenario, leaves, false, runs);
  addResults(results, scenario, joins, true, runs);
  return results;
}

} // namespace sycamore::placement::quality

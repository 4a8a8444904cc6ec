#include "Baselines.h"
#include "Deployment.h"
#include "Measurements.h"

#include <base/KeyHash.h>

#include <algorithm>

namespace sycamore::placement::quality {

namespace {

// Time after the event in which all moves are counted, including second moves of a shard after the
// minimum time.
constexpr int kEventSeconds = 150;
constexpr std::uint64_t kSampleKeys = 100'000;

struct Churn
{
  double moved = 0;
  double minMoved = 0;
  double worstImbalance = 0;
  double earlyRepeatMoves = 0;

  void add(const Churn& other)
  {
    moved += other.moved;
    minMoved += other.minMoved;
    worstImbalance = std::max(worstImbalance, other.worstImbalance);
    earlyRepeatMoves += other.earlyRepeatMoves;
  }
};

Churn measureEvent(Deployment deployment, double minMoved)
{
  const long before = deployment.moves();
  for (int second = 0; second < kEventSeconds; ++second) {
    deployment.runExpectedSecond();
  }
  return { static_cast<double>(deployment.moves() - before),
           minMoved,
           deployment.imbalance(),
           static_cast<double>(deployment.earlyRepeatMoves()) };
}

Churn measureLeave(Deployment deployment, const Scenario& scenario, std::uint32_t server)
{
  const base::ServerId name(scenario.name + "-" + std::to_string(server));
  const auto owned = static_cast<double>(deployment.map().shardsOf(name).size());
  deployment.leave(server);
  return measureEvent(std::move(deployment), owned);
}

Churn measureJoin(Deployment deployment, const Scenario& scenario, std::uint32_t server)
{
  const std::size_t rows = deployment.map().rowCount();
  deployment.join(server);
  return measureEvent(std::move(deployment), static_cast<double>(rows) / (scenario.servers + 1));
}

// Counts the keys whose owner changes when the last server of the larger set leaves or joins.
Churn baselineChurn(const Baseline& smaller,
                    const Baseline& larger,
                    std::uint32_t last,
                    bool isJoin)
{
  Churn churn;
  for (std::uint64_t i = 0; i < kSampleKeys; ++i) {
    const std::uint64_t hash = base::hashBytes(std::to_string(i));
    churn.moved += smaller.owner(hash) != larger.owner(hash) ? 1 : 0;
    churn.minMoved += !isJoin && larger.owner(hash) == last ? 1 : 0;
  }
  if (isJoin) {
    churn.minMoved = static_cast<double>(kSampleKeys) / (last + 1);
  }
  return churn;
}

Churn baselineChurn(const Scenario& scenario, std::size_t baselineIndex, bool isJoin)
{
  const std::uint32_t larger = scenario.servers + (isJoin ? 1 : 0);
  const auto without = makeBaselines(serverHashes(scenario, larger - 1));
  const auto with = makeBaselines(serverHashes(scenario, larger));
  return baselineChurn(*without[baselineIndex], *with[baselineIndex], larger - 1, isJoin);
}

// Adds one result per baseline, the imbalance after the event, and the early repeated moves.
void addResults(std::vector<Result>& results,
                const Scenario& scenario,
                const Churn& churn,
                bool isJoin,
                int runs)
{
  const std::string name = scenario.name + (isJoin ? "/join" : "/leave");
  const auto baselines = makeBaselines(serverHashes(scenario, scenario.servers));
  for (std::size_t i = 0; i < baselines.size(); ++i) {
    const Churn baseline = baselineChurn(scenario, i, isJoin);
    results.push_back({ "churn_ratio",
                        name,
                        churn.moved / churn.minMoved,
                        "moved/least",
                        1.1,
                        baselines[i]->name(),
                        baseline.moved / baseline.minMoved,
                        runs });
  }
  // With a 21st server the hottest of 100 million keys alone exceeds 1.10.
  const auto bound = isJoin ? std::nullopt : std::optional(1.10);
  results.push_back({ "imbalance", name, churn.worstImbalance, "max/mean", bound, {}, {}, runs });
  results.push_back(
    { "early_repeat_moves", name, churn.earlyRepeatMoves, "moves", 0.0, {}, {}, runs });
}

} // namespace

std::vector<Result> measureChurn(const Scenario& scenario, const std::vector<Deployment>& settled)
{
  Churn leaves;
  Churn joins;
  for (const Deployment& deployment : settled) {
    for (std::uint32_t server = 0; server < scenario.servers; ++server) {
      leaves.add(measureLeave(deployment, scenario, server));
    }
    joins.add(measureJoin(deployment, scenario, scenario.servers));
  }
  const int runs = static_cast<int>(settled.size());
  std::vector<Result> results;
  addResults(results, scenario, leaves, false, runs);
  addResults(results, scenario, joins, true, runs);
  return results;
}

} // namespace sycamore::placement::quality

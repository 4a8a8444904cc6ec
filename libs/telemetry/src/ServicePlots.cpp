#include "ServicePlots.h"

#include "ReportText.h"

#include <algorithm>

namespace sycamore::telemetry {

namespace {

using Values = std::vector<std::optional<double>>;

constexpr std::array<std::size_t, 3> kTrailingWindowSteps{ 1, 6, 12 };
// Above this burn rate, a linear axis would compress the thresholds into its lowest fifth.
constexpr double kMaxLinearBurnRate = 72;

// Returns value(i) of all steps, oldest first; i counts backwards from now.
template<typename Value>
Values valuesPerStep(std::size_t steps, Value value)
{
  Values values;
  for (std::size_t i = steps; i-- > 0;) {
    values.push_back(value(i));
  }
  return values;
}

std::optional<double> trailingBurnRate(const ServiceLevelSnapshot& snapshot,
                                       std::size_t step,
                                       std::size_t length)
{
  if (step + length > kHistorySteps) {
    return std::nullopt;
  }
  ServiceLevelCounts counts;
  for (std::size_t i = step; i < step + length; ++i) {
    counts += snapshot.steps[i];
  }
  return counts.total() == 0 ? std::nullopt : std::optional(snapshot.burnRate(counts));
}

PlotSpec burnRatePlot(const ServiceLevelSnapshot& snapshot)
{
  PlotSpec plot;
  plot.title = "Burn rate of the error budget";
  plot.axis = "burn rate";
  plot.timeUnit = "h";
  plot.high = 20;
  double largest = 0;
  for (const std::size_t length : kTrailingWindowSteps) {
    plot.series.push_back(
      { length == 12 ? "1 h window" : std::to_string(length * 5) + " min window",
        valuesPerStep(kHistorySteps,
                      [&](std::size_t i) { return trailingBurnRate(snapshot, i, length); }) });
    for (const auto& value : plot.series.back().values) {
      largest = std::max(largest, value.value_or(0));
    }
  }
  if (largest > kMaxLinearBurnRate) {
    plot.scale = PlotScale::Root;
    plot.axis += " (square-root scale)";
  }
  plot.thresholds = { { 14.4, "14.4: alert on 5 min and 1 h" },
                      { 6, "6: alert on 30 min and 6 h" } };
  return plot;
}

PlotSpec latencyPlot(const ServiceLevelSnapshot& snapshot)
{
  PlotSpec plot;
  plot.title = "Latency of requests that ran";
  plot.axis = "latency (ms, log scale)";
  plot.timeUnit = "h";
  plot.scale = PlotScale::Log;
  plot.low = 0.1;
  plot.high = 100;
  for (const auto& [name, q] :
       { std::pair("p50", 0.5), std::pair("p90", 0.9), std::pair("p99", 0.99) }) {
    plot.series.push_back({ name, valuesPerStep(kHistorySteps, [&, share = q](std::size_t i) {
                              const auto bounds = snapshot.latencies[i].quantile(share);
                              return bounds
                                       ? std::optional(std::min(bounds->high, kLatencyMax) * 1000)
                                       : std::nullopt;
                            }) });
  }
  const double objective = std::chrono::duration<double>(snapshot.latencyObjective).count();
  plot.thresholds = { { objective * 1000, "objective " + latencyText(objective) } };
  return plot;
}

PlotSpec causePlot(const ServiceLevelSnapshot& snapshot)
{
  PlotSpec plot;
  plot.title = "Bad answers by cause, per 5 min";
  plot.axis = "bad answers";
  plot.timeUnit = "h";
  plot.stacked = true;
  plot.high = 5;
  for (const BadAnswerCause cause : kAllBadAnswerCauses) {
    plot.series.push_back(
      { std::string(badAnswerCauseName(cause)), valuesPerStep(kHistorySteps, [&](std::size_t i) {
          return std::optional(
            static_cast<double>(snapshot.steps[i].bad.at(static_cast<std::size_t>(cause))));
        }) });
  }
  return plot;
}

PlotSpec imbalancePlot(const ServiceLevelSnapshot& snapshot)
{
  PlotSpec plot;
  plot.title = "Load imbalance: busiest server relative to the mean, per minute";
  plot.axis = "max / mean";
  plot.timeUnit = "min";
  plot.span = 60;
  plot.tick = 10;
  plot.low = 1;
  plot.high = 1.5;
  plot.series.push_back(
    { "max / mean requests", valuesPerStep(kLoadHistoryMinutes, [&](std::size_t i) {
        return imbalance(snapshot.loads, i);
      }) });
  plot.thresholds = { { 1.1, "target 1.10" } };
  return plot;
}

PlotSpec countPlot(std::string title, std::string axis, double high, PlotSeries series)
{
  PlotSpec plot;
  plot.title = std::move(title);
  plot.axis = std::move(axis);
  plot.timeUnit = "h";
  plot.stacked = true;
  plot.high = high;
  plot.series.push_back(std::move(series));
  return plot;
}

} // namespace

std::vector<PlotSpec> servicePlots(const ServiceLevelSnapshot& snapshot)
{
  const auto movedShards = valuesPerStep(kHistorySteps, [&](std::size_t i) {
    return std::optional<double>(snapshot.steps[i].movedShards);
  });
  const auto ownerless = valuesPerStep(kHistorySteps, [&](std::size_t i) {
    return std::optional(static_cast<double>(snapshot.steps[i].unavailableMs) / 1000);
  });
  return {
    burnRatePlot(snapshot),
    latencyPlot(snapshot),
    causePlot(snapshot),
    imbalancePlot(snapshot),
    countPlot("Churn: moved shards, per 5 min", "shards", 5, { "moved shards", movedShards }),
    countPlot("Unavailable time, per 5 min", "seconds", 1, { "time without an owner", ownerless })
  };
}

} // namespace sycamore::telemetry

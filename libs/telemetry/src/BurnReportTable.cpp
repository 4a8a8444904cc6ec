#include "ReportText.h"

#include <algorithm>
#include <vector>

namespace sycamore::telemetry {

namespace {

using Row = std::vector<std::string>;

Row headings()
{
  Row row{ "service", "objective" };
  for (const BurnRateWindow& window : kBurnRateWindows) {
    row.push_back("burn " + std::string(window.name));
  }
  row.insert(
    row.end(),
    { "alert", "budget left", "observed", "p99 1h", "imbalance", "moves 1h", "no owner 6h" });
  return row;
}

Row rowOf(const base::ServiceId& service, const ServiceLevelSnapshot& snapshot)
{
  Row row{ service.value(),
           fixedText(snapshot.goodRatio * 100, 3) + "% in " +
             latencyText(std::chrono::duration<double>(snapshot.latencyObjective).count()) };
  for (const ServiceLevelCounts& window : snapshot.windows) {
    row.push_back(window.total() == 0 ? "-" : fixedText(snapshot.burnRate(window), 2));
  }
  const auto load = imbalance(snapshot.loads, 0);
  row.insert(
    row.end(),
    { alertText(snapshot),
      fixedText(snapshot.budgetLeft() * 100, 1) + "%",
      durationText(snapshot.observedDuration),
      quantileText(snapshot, 0.99),
      load ? fixedText(*load, 2) : "-",
      std::to_string(snapshot.movedShardsLastHour()),
      fixedText(static_cast<double>(snapshot.windows.back().unavailableMs) / 1000, 1) + " s" });
  return row;
}

std::string alignColumns(const std::vector<Row>& rows)
{
  std::vector<std::size_t> widths(rows[0].size());
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Row& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + '\n';
  }
  return text;
}

} // namespace

std::string BurnReport::table() const
{
  std::vector<Row> rows{ headings() };
  for (const auto& [service, snapshot] : services_) {
    rows.push_back(rowOf(service, snapshot));
  }
  std::string text = alignColumns(rows) + "\nVMs counted: " + namesText(vms_) + '\n';
  if (!isComplete()) {
    text += "VMs missing, their requests are not counted: " + namesText(missingVms_) + '\n';
  }
  return text;
}

} // namespace sycamore::telemetry

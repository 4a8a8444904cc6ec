#include "ReportText.h"
#include "ServicePlots.h"
#include "SvgPlot.h"

namespace sycamore::telemetry {

namespace {

constexpr const char* kStyle = R"(
:root{color-scheme:light dark;--bg:#fafaf7;--card:#fff;--ink:#22262b;--dim:#5d6670;--grid:#e3e5e8;
--alert:#b3261e;--warn:#fff1d6;--c0:#0b6bb8;--c1:#c76a00;--c2:#11805d;--c3:#9b4a9f;--c4:#8a7a00;
--c5:#6b7280}
@media (prefers-color-scheme:dark){:root{--bg:#15181c;--card:#1d2126;--ink:#e6e8ea;--dim:#a2abb5;
--grid:#333a42;--alert:#ff8a80;--warn:#3d3115;--c0:#6cb6f5;--c1:#f2a65a;--c2:#5fd0a5;--c3:#d79adb;
--c4:#e0cf5a;--c5:#a9b1bb}}
*{box-sizing:border-box}
body{margin:0;padding:24px;background:var(--bg);color:var(--ink);font:15px/1.45 system-ui,sans-serif}
main{max-width:1240px;margin:0 auto}
h1{font-size:24px;margin:0 0 4px}h2{font-size:19px;margin:36px 0 8px}h3{font-size:14px;margin:0 0 6px}
p{margin:4px 0;color:var(--dim)}
.missing{background:var(--warn);color:var(--ink);padding:8px 12px;border-radius:6px}
.wide{overflow-x:auto}
table{border-collapse:collapse;width:100%;background:var(--card)}
th,td{text-align:right;padding:7px 12px;border-bottom:1px solid var(--grid);white-space:nowrap;
font-variant-numeric:tabular-nums}
th{color:var(--dim);font-weight:600}th:first-child,td:first-child{text-align:left}
td.firing{color:var(--alert);font-weight:700}
.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(min(440px,100%),1fr));gap:16px;
margin-top:12px}
figure{margin:0;padding:14px;background:var(--card);border:1px solid var(--grid);border-radius:8px}
svg{display:block;width:100%;height:auto}
svg text{font:11px system-ui,sans-serif;fill:var(--dim)}
.grid{stroke:var(--grid)}.base{stroke:var(--dim)}
.threshold{stroke:var(--alert);stroke-dasharray:5 4}
.line{fill:none;stroke-width:1.8;stroke-linejoin:round;stroke-linecap:round}
.line.c0{stroke:var(--c0)}.line.c1{stroke:var(--c1)}.line.c2{stroke:var(--c2)}
.bar.c0,i.c0{fill:var(--c0);background:var(--c0)}.bar.c1,i.c1{fill:var(--c1);background:var(--c1)}
.bar.c2,i.c2{fill:var(--c2);background:var(--c2)}.bar.c3,i.c3{fill:var(--c3);background:var(--c3)}
.bar.c4,i.c4{fill:var(--c4);background:var(--c4)}.bar.c5,i.c5{fill:var(--c5);background:var(--c5)}
.legend{font-size:12px;color:var(--dim)}
.legend span{margin-right:14px;white-space:nowrap}
.legend i{display:inline-block;width:10px;height:10px;border-radius:2px;margin-right:5px}
)";

std::string cell(const std::string& text, bool isFiring = false)
{
  return std::string(isFiring ? "<td class=\"firing\">" : "<td>") + escapeHtml(text) + "</td>";
}

std::string secondsText(std::uint64_t ms)
{
  return fixedText(static_cast<double>(ms) / 1000, 1) + " s";
}

std::string summaryRow(const base::ServiceId& service, const ServiceLevelSnapshot& snapshot)
{
  std::string row = "<tr>" + cell(service.value());
  row += cell(fixedText(snapshot.goodRatio * 100, 3) + "% in " +
              latencyText(std::chrono::duration<double>(snapshot.latencyObjective).count()));
  for (const ServiceLevelCounts& window : snapshot.windows) {
    row += cell(window.total() == 0 ? "-" : fixedText(snapshot.burnRate(window), 2));
  }
  const std::string alerts = alertText(snapshot);
  row += cell(alerts, alerts != "-");
  row += cell(fixedText(snapshot.budgetLeft() * 100, 1) + "%", snapshot.budgetLeft() < 0);
  row += cell(durationText(snapshot.observedDuration)) + cell(quantileText(snapshot, 0.99));
  const auto load = imbalance(snapshot.loads, 0);
  row +=
    cell(load ? fixedText(*load, 2) : "-") + cell(std::to_string(snapshot.movedShardsLastHour()));
  return row + cell(secondsText(snapshot.windows.back().unavailableMs)) + "</tr>\n";
}

std::string summary(const std::map<base::ServiceId, ServiceLevelSnapshot>& services)
{
  std::string out = "<div class=\"wide\"><table><thead><tr><th>service</th><th>objective</th>";
  for (const BurnRateWindow& window : kBurnRateWindows) {
    out += "<th>burn " + std::string(window.name) + "</th>";
  }
  out += "<th>alert</th><th>budget left</th><th>observed for</th><th>p99, 1 h</th>"
         "<th>imbalance</th><th>moves, 1 h</th><th>no owner, 6 h</th></tr></thead><tbody>\n";
  for (const auto& [service, snapshot] : services) {
    out += summaryRow(service, snapshot);
  }
  return out + "</tbody></table></div>\n";
}

std::string legend(const PlotSpec& plot)
{
  if (plot.series.size() < 2) {
    return {};
  }
  std::string out = "<div class=\"legend\">";
  for (std::size_t i = 0; i < plot.series.size(); ++i) {
    out += "<span><i class=\"c" + std::to_string(i) + "\"></i>" + escapeHtml(plot.series[i].name) +
           "</span>";
  }
  return out + "</div>";
}

std::string section(const base::ServiceId& service, const ServiceLevelSnapshot& snapshot)
{
  std::string out =
    "<h2>" + escapeHtml(service.value()) + "</h2>\n<p>" + std::to_string(snapshot.period.total()) +
    " answers counted in " + durationText(snapshot.observedDuration) + ", " +
    std::to_string(snapshot.period.badTotal()) +
    " of them bad. Latencies come from histogram bins whose edges are 10% apart.</p>\n" +
    "<div class=\"plots\">\n";
  for (const PlotSpec& plot : servicePlots(snapshot)) {
    out += "<figure><h3>" + escapeHtml(plot.title) + "</h3>" + SvgPlot(plot).render() +
           legend(plot) + "</figure>\n";
  }
  return out + "</div>\n";
}

} // namespace

std::string BurnReport::html() const
{
  std::string out = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                    "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">"
                    "<title>Burn report</title><style>";
  out += kStyle;
  out += "</style></head><body><main><h1>Burn report</h1>\n";
  out += "<p>A burn rate of 1 uses up the error budget in exactly 30 days. The budget "
         "left is computed over the observed time only.</p>\n<p>Entry VMs counted (" +
         std::to_string(vms_.size()) + "): " + escapeHtml(namesText(vms_)) + "</p>\n";
  if (!isComplete()) {
    out += "<p class=\"missing\">VMs that did not answer; their requests are not counted (" +
           std::to_string(missingVms_.size()) + "): " + escapeHtml(namesText(missingVms_)) +
           "</p>\n";
  }
  out += summary(services_);
  for (const auto& [service, snapshot] : services_) {
    out += section(service, snapshot);
  }
  return out + "</main></body></html>\n";
}

} // namespace sycamore::telemetry

#include "ReportText.h"

#include <cmath>
#include <cstdio>

namespace sycamore::telemetry {

namespace {

constexpr std::size_t kStepsPerHour = 12;

} // namespace

std::string durationText(base::Duration duration)
{
  const double seconds = std::chrono::duration<double>(duration).count();
  if (seconds >= 48 * 3600) {
    return fixedText(seconds / 86400, 1) + " days";
  }
  if (seconds >= 2 * 3600) {
    return fixedText(seconds / 3600, 1) + " h";
  }
  return seconds >= 120 ? fixedText(seconds / 60, 0) + " min" : fixedText(seconds, 0) + " s";
}

std::string fixedText(double value, int digits)
{
  char text[64];
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

std::string latencyText(double seconds)
{
  if (std::isinf(seconds)) {
    return "more";
  }
  if (seconds >= 1) {
    return fixedText(seconds, 1) + " s";
  }
  const double ms = seconds * 1000;
  return fixedText(ms, ms >= 10 ? 0 : 1) + " ms";
}

std::string quantileText(const ServiceLevelSnapshot& snapshot, double q)
{
  LatencyCounts counts;
  for (std::size_t i = 0; i < kStepsPerHour; ++i) {
    counts += snapshot.latencies[i];
  }
  const auto bounds = counts.quantile(q);
  return bounds ? latencyText(bounds->low) + " to " + latencyText(bounds->high) : "-";
}

std::string namesText(const std::set<base::VmId>& vms)
{
  std::string text;
  for (const base::VmId& vm : vms) {
    text += (text.empty() ? "" : ", ") + vm.value();
  }
  return text;
}

std::string alertText(const ServiceLevelSnapshot& snapshot)
{
  std::string text;
  for (const BurnRateAlert& alert : kBurnRateAlerts) {
    if (snapshot.isFiring(alert)) {
      text += (text.empty() ? "" : ", ") + std::string(alert.name);
    }
  }
  return text.empty() ? "-" : text;
}

std::string escapeHtml(std::string_view text)
{
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

} // namespace sycamore::telemetry

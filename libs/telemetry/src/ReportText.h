#pragma once

#include <telemetry/BurnReport.h>

#include <optional>
#include <string>

namespace sycamore::telemetry {

// "1.5 days", "3.2 h", "12 min" or "8 s".
std::string durationText(base::Duration duration);

// A number with the given digits after the point.
std::string fixedText(double value, int digits);

// Seconds as "12 ms" or "1.3 s".
std::string latencyText(double seconds);

// "7.2 ms to 7.9 ms" of the quantile over the last hour; "-" without answers.
std::string quantileText(const ServiceLevelSnapshot& snapshot, double q);

// Names separated by commas.
std::string namesText(const std::set<base::VmId>& vms);

// "fast", "slow" or both, of the alerts that fire; "-" for none.
std::string alertText(const ServiceLevelSnapshot& snapshot);

std::string escapeHtml(std::string_view text);

} // namespace sycamore::telemetry

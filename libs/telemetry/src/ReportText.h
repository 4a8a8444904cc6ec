#pragma once

#include <telemetry/BurnReport.h>

#include <optional>
#include <string>

namespace sycamore::telemetry {

// Formats a duration as "1.5 days", "3.2 h", "12 min" or "8 s".
std::string durationText(base::Duration duration);

// Formats a number with the given number of decimal places.
std::string fixedText(double value, int digits);

// Formats seconds as "12 ms" or "1.3 s", and infinity as "more".
std::string latencyText(double seconds);

// Formats the bounds of the quantile over the last hour as "7.2 ms to 7.9 ms"; "-" without answers.
std::string quantileText(const ServiceLevelSnapshot& snapshot, double q);

// Joins the names with commas.
std::string namesText(const std::set<base::VmId>& vms);

// Names the alerts that fire: "fast", "slow" or both; "-" for none.
std::string alertText(const ServiceLevelSnapshot& snapshot);

std::string escapeHtml(std::string_view text);

} // namespace sycamore::telemetry

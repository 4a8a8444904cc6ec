#pragma once

#include <telemetry/LatencyCounts.h>

#include <string>
#include <string_view>
#include <vector>

namespace sycamore::telemetry {

// The value of a label between its quotes: backslash, quote and line feed escaped.
std::string escapeLabel(std::string_view value);

// The text of HELP: backslash and line feed escaped.
std::string escapeHelp(std::string_view text);

// {name="value",...}, or nothing without labels.
std::string labelText(const std::vector<std::string>& names,
                      const std::vector<std::string>& values);

// "# HELP" and "# TYPE" lines.
void writeMetricHeader(std::string& out,
                       const std::string& name,
                       const std::string& help,
                       const std::string& type);

// A number as the format writes it, with "+Inf", "-Inf" and "NaN".
std::string numberText(double value);

// The lines of one histogram: cumulative buckets at three edges per decade, sum and count.
void writeHistogram(std::string& out,
                    const std::string& name,
                    std::vector<std::string> labels,
                    std::vector<std::string> values,
                    const LatencyCounts& counts,
                    double sumSeconds);

} // namespace sycamore::telemetry

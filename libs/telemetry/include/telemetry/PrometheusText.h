#pragma once

#include <telemetry/LatencyCounts.h>

#include <string>
#include <string_view>
#include <vector>

namespace sycamore::telemetry {

// Escapes backslash, quote and line feed in the value of a label.
std::string escapeLabel(std::string_view value);

// Escapes backslash and line feed in a help text.
std::string escapeHelp(std::string_view text);

// Returns {name="value",...}, or an empty string without labels.
std::string labelText(const std::vector<std::string>& names,
                      const std::vector<std::string>& values);

// Appends the "# HELP" and "# TYPE" lines of a metric.
void writeMetricHeader(std::string& out,
                       const std::string& name,
                       const std::string& help,
                       const std::string& type);

// Formats a number; the special values are "+Inf", "-Inf" and "NaN".
std::string numberText(double value);

// Appends the lines of one histogram: cumulative buckets at three edges per decade, sum and count.
void writeHistogram(std::string& out,
                    const std::string& name,
                    std::vector<std::string> labels,
                    std::vector<std::string> values,
                    const LatencyCounts& counts,
                    double sumSeconds);

} // namespace sycamore::telemetry

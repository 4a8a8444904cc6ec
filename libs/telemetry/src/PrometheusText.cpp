#include <telemetry/PrometheusText.h>

#include <cmath>
#include <cstdio>

namespace sycamore::telemetry {

namespace {

constexpr int kBinsPerBucket = 8;

std::string escape(std::string_view text, bool escapeQuotes)
{
  std::string out;
  for (const char c : text) {
    if (c == '\\') {
      out += "\\\\";
    } else if (c == '\n') {
      out += "\\n";
    } else if (c == '"' && escapeQuotes) {
      out += "\\\"";
    } else {
      out += c;
    }
  }
  return out;
}

void writeLine(std::string& out,
               const std::string& name,
               const std::string& labels,
               const std::string& value)
{
  out += name;
  out += labels;
  out += ' ';
  out += value;
  out += '\n';
}

} // namespace

std::string escapeLabel(std::string_view value)
{
  return escape(value, true);
}

std::string escapeHelp(std::string_view text)
{
  return escape(text, false);
}

std::string labelText(const std::vector<std::string>& names, const std::vector<std::string>& values)
{
  std::string out;
  for (std::size_t i = 0; i < names.size(); ++i) {
    out += (i == 0 ? "{" : ",") + names[i] + "=\"" + escapeLabel(values[i]) + '"';
  }
  return out.empty() ? out : out + '}';
}

void writeMetricHeader(std::string& out,
                       const std::string& name,
                       const std::string& help,
                       const std::string& type)
{
  out += "# HELP " + name + ' ' + escapeHelp(help) + "\n# TYPE " + name + ' ' + type + '\n';
}

std::string numberText(double value)
{
  if (std::isnan(value)) {
    return "NaN";
  }
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  char text[32];
  std::snprintf(text, sizeof text, "%.10g", value);
  return text;
}

void writeHistogram(std::string& out,
                    const std::string& name,
                    std::vector<std::string> labels,
                    std::vector<std::string> values,
                    const LatencyCounts& counts,
                    double sumSeconds)
{
  const std::string labelsWithoutLe = labelText(labels, values);
  labels.emplace_back("le");
  values.emplace_back();
  for (int bin = -1; bin < kLatencyBins; bin += kBinsPerBucket) {
    values.back() = numberText(LatencyCounts::bounds(bin).high);
    writeLine(
      out, name + "_bucket", labelText(labels, values), std::to_string(counts.cumulative(bin)));
  }
  values.back() = "+Inf";
  writeLine(out, name + "_bucket", labelText(labels, values), std::to_string(counts.total()));
  writeLine(out, name + "_sum", labelsWithoutLe, numberText(sumSeconds));
  writeLine(out, name + "_count", labelsWithoutLe, std::to_string(counts.total()));
}

} // namespace sycamore::telemetry

#include "LoadSummary.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace sycamore::load_tool {

using base::Duration;
using base::TimePoint;
using nlohmann::json;

namespace {

double millis(Duration duration)
{
  return std::round(std::chrono::duration<double, std::milli>(duration).count() * 100) / 100;
}

Duration quantile(const std::vector<Duration>& sorted, double fraction)
{
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
  return sorted.empty() ? Duration() : sorted[std::min(index, sorted.size() - 1)];
}

Duration longestUnserved(std::vector<LoadSample> samples)
{
  std::sort(samples.begin(), samples.end(), [](const auto& a, const auto& b) {
    return a.startedAt < b.startedAt;
  });
  std::map<std::uint32_t, TimePoint> unservedSince;
  Duration longest{};
  for (const LoadSample& sample : samples) {
    const TimePoint since = unservedSince.try_emplace(sample.key, sample.startedAt).first->second;
    if (sample.outcome == "ran") {
      longest = std::max(longest, sample.endedAt - since);
      unservedSince.erase(sample.key);
    }
  }
  return longest;
}

} // namespace

json summarize(const std::vector<LoadSample>& samples)
{
  std::vector<Duration> latencies;
  std::map<std::string, std::size_t> byServer;
  std::map<std::string, std::size_t> byOutcome;
  for (const LoadSample& sample : samples) {
    latencies.push_back(sample.endedAt - sample.startedAt);
    ++byOutcome[sample.reason.empty() ? sample.outcome : sample.outcome + "/" + sample.reason];
    if (!sample.server.empty()) {
      ++byServer[sample.server];
    }
  }
  std::sort(latencies.begin(), latencies.end());
  return { { "requests", samples.size() },
           { "p50_ms", millis(quantile(latencies, 0.5)) },
           { "p99_ms", millis(quantile(latencies, 0.99)) },
           { "p999_ms", millis(quantile(latencies, 0.999)) },
           { "max_ms", millis(latencies.empty() ? Duration() : latencies.back()) },
           { "longest_unserved_key_ms", millis(longestUnserved(samples)) },
           { "outcomes", byOutcome },
           { "servers", byServer } };
}

} // namespace sycamore::load_tool

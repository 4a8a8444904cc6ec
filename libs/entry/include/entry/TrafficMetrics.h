#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <telemetry/LatencyCounts.h>

#include <map>
#include <string>
#include <utility>

namespace sycamore::entry {

// Result of a request for its caller.
enum class RequestOutcome
{
  // The caller received a server's answer.
  Answered,
  // The request wasn't run; the caller may retry.
  Refused,
  // It isn't known whether the request was run, or it failed or timed out.
  Failed
};

// Counts requests and their latency by service, route and outcome, and writes them in Prometheus'
// text format. Traffic thread only.
class TrafficMetrics
{
public:
  // Records the latency from the first byte of the request to the answer. Routes beyond the maximum
  // number of series share the series "other".
  void record(const base::ServiceId& service,
              const std::string& route,
              RequestOutcome outcome,
              base::Duration latency);

  void write(std::string& out) const;

private:
  struct Series
  {
    telemetry::LatencyCounts latency;
    base::Duration sum{};
  };
  using Outcomes = std::map<RequestOutcome, Series>;

  std::map<std::pair<base::ServiceId, std::string>, Outcomes> series_;
};

} // namespace sycamore::entry

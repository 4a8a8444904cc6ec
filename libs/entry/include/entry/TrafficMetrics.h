#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <telemetry/LatencyCounts.h>

#include <map>
#include <string>
#include <utility>

namespace sycamore::entry {

// What a caller got, by what it can do with it.
enum class RequestOutcome
{
  // A server's answer.
  Answered,
  // Not run; the caller may come back.
  Refused,
  // It isn't known whether it has run, or no answer came in time.
  Failed
};

// Requests by service, route and outcome with their latency, in Prometheus' text format. Traffic
// thread only.
class TrafficMetrics
{
public:
  // Latency from the first byte of the request to the answer. Routes beyond the largest number of
  // series share the series "other".
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

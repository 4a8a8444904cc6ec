#pragma once

#include <quality/QualityReport.h>
#include <quality/Scenario.h>

namespace sycamore::quality {

// Measures the p99 while some servers are slowed by a factor of 10 for short periods, relative to
// the p99 without slow servers, for a service that is not sharded by key. Adds quantiles for each
// policy.
void measureStragglers(QualityReport& report, const Scenario& scenario);

// Measures the requests that a cold server got above its concurrency limit, compared to full load
// at once.
void measureColdStart(QualityReport& report, const Scenario& scenario);

// Measures the requests above the number of a server's slots, under timeouts, cancellations and
// restarts, compared to freeing the slot when the dispatcher abandons the request.
void measureSlots(QualityReport& report, const Scenario& scenario);

// Compares a back-off shared by all requests to a server with a separate back-off of each request,
// during an outage of the server and during a partial overload.
void measureSharedBackoff(QualityReport& report, const Scenario& scenario);

} // namespace sycamore::quality

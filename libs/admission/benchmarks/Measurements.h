#pragma once

#include <quality/QualityReport.h>
#include <quality/Scenario.h>

namespace sycamore::quality {

// p99 while some servers are slowed by a factor of 10 for moments, against the p99 without them,
// for a service that is not divided by key; with quantiles for each policy.
void measureStragglers(QualityReport& report, const Scenario& scenario);

// Requests that a cold server got beyond what it could bear, against full load at once.
void measureColdStart(QualityReport& report, const Scenario& scenario);

// Requests beyond the slots of a server, under timeouts, cancellations and restarts, against
// freeing the slot when the dispatcher gives up.
void measureSlots(QualityReport& report, const Scenario& scenario);

// One back-off gate for a server against back-off of each request, during an outage of the server
// and during a partial overload.
void measureSharedBackoff(QualityReport& report, const Scenario& scenario);

} // namespace sycamore::quality

#pragma once

#include <quality/QualityReport.h>
#include <quality/Scenario.h>

namespace sycamore::quality {

// Measures attempts per request in the worst second while every server fails, compared with retries
// without a budget.
void measureRetryAmplification(QualityReport& report, const Scenario& scenario);

// Measures executions beyond the first of non-idempotent requests, under resends, lost answers,
// refusals and changes of the dispatcher and of the key's owner, compared with dispatching every
// resend.
void measureDuplicateExecutions(QualityReport& report, const Scenario& scenario);

} // namespace sycamore::quality

#pragma once

#include <quality/QualityReport.h>
#include <quality/Scenario.h>

namespace sycamore::quality {

// Attempts per request in the worst second while every server fails, against retries without a
// budget.
void measureRetryAmplification(QualityReport& report, const Scenario& scenario);

// Executions beyond the first of non-idempotent requests, under resends, lost answers, refusals and
// changes of the dispatcher and of the key's owner, against dispatching every resend.
void measureDuplicateExecutions(QualityReport& report, const Scenario& scenario);

} // namespace sycamore::quality

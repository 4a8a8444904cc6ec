#pragma once

#include <operators/StatusMessages.h>
#include <telemetry/BurnReport.h>

namespace sycamore::daemon {

// Converts a burn report to the reply for operators: one row for each service and window, and the
// HTML page if the request asks for it. Each VM that did not answer has a row of its own, with its
// name as the service and "missing" as the window.
operators::BurnReport toBurnReply(telemetry::BurnReport report,
                                  const operators::BurnReportRequest& request);

} // namespace sycamore::daemon

#pragma once

#include <operators/StatusMessages.h>
#include <telemetry/BurnReport.h>

namespace sycamore::daemon {

// The operators' form of a burn report: one row for each service and window, and the page if asked
// for. VMs that did not answer are named in a row of their own with window "missing".
operators::BurnReport burnReply(telemetry::BurnReport report,
                                const operators::BurnReportRequest& request);

} // namespace sycamore::daemon

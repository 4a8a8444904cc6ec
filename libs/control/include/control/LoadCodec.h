#pragma once

#include <control/LoadReport.h>

#include <string>

namespace sycamore::control {

// JSON text of a load report; rates are rounded to 0.1.
std::string encode(const LoadReport& report);
// Throws ControlError for text that is no load report.
LoadReport decodeLoadReport(const std::string& text);

} // namespace sycamore::control

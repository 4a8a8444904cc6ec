#pragma once

#include <control/LoadReport.h>

#include <string>

namespace sycamore::control {

// Encodes a load report as JSON. Rates are rounded to 0.1.
std::string encode(const LoadReport& report);
// Throws ControlError if the text is not a load report.
LoadReport decodeLoadReport(const std::string& text);

} // namespace sycamore::control

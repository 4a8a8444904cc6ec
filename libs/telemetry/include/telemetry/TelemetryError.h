#pragma once

#include <base/Error.h>

namespace sycamore::telemetry {

// An invalid metric declaration, or a malformed snapshot of another VM.
class TelemetryError : public base::Error
{
public:
  using Error::Error;
};

} // namespace sycamore::telemetry

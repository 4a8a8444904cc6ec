#pragma once

#include <base/Error.h>

namespace sycamore::telemetry {

// A metric was declared wrongly, or a form of another VM is malformed.
class TelemetryError : public base::Error
{
public:
  using Error::Error;
};

} // namespace sycamore::telemetry

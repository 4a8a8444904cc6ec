#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <requests/Outcome.h>
#include <requests/Reason.h>

namespace sycamore::telemetry {

// One finished request of a caller. Repeats the fields of router::RequestRecord that metrics need,
// because a dependency on libs/router would pull in HTTP.
struct RequestSample
{
  base::ServiceId service;
  requests::Outcome outcome = requests::Outcome::Unknown;
  requests::Reason reason = requests::Reason::None;
  base::Duration latency{};
  unsigned attempts = 0;
  // The answer ended before its last byte.
  bool isTruncated = false;
};

} // namespace sycamore::telemetry

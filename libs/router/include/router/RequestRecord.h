#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <requests/Outcome.h>
#include <requests/Reason.h>

#include <functional>

namespace sycamore::router {

// A finished request of a caller, for metrics and the error budget burn report.
struct RequestRecord
{
  base::ServiceId service;
  base::MethodId method;
  requests::Outcome outcome = requests::Outcome::Unknown;
  requests::Reason reason = requests::Reason::None;
  // HTTP status of the answer; 0 if the caller disconnected or the answer was truncated.
  int status = 0;
  base::Duration latency{};
  // Number of attempts, including retries and attempts that only led to another route.
  unsigned attempts = 0;
  bool answerTruncated = false;
};

// Called on traffic threads; must be thread-safe and must not block.
using RequestObserver = std::function<void(const RequestRecord&)>;

} // namespace sycamore::router

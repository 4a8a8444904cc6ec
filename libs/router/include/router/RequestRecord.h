#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <requests/Outcome.h>
#include <requests/Reason.h>

#include <functional>

namespace sycamore::router {

// One finished request of a caller, for metrics and the burn report.
struct RequestRecord
{
  base::ServiceId service;
  base::MethodId method;
  requests::Outcome outcome = requests::Outcome::Unknown;
  requests::Reason reason = requests::Reason::None;
  // Status of the answer; 0 when the caller left or the answer broke off.
  int status = 0;
  base::Duration latency{};
  // Sends to backend servers, retries included.
  unsigned attempts = 0;
  bool answerTruncated = false;
};

// Called on traffic threads; must be safe from all of them and must not block.
using RequestObserver = std::function<void(const RequestRecord&)>;

} // namespace sycamore::router

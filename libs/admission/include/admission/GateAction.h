#pragma once

#include <admission/SlotGate.h>
#include <base/Time.h>
#include <requests/Reason.h>

#include <vector>

namespace sycamore::admission {

// What the dispatcher has to do for one request.
struct GateAction
{
  enum class Kind
  {
    // Send it to the server now; report its end with ServerGate::onFinished() or onAbandoned().
    Dispatch,
    // Answer "not run" with `reason`, or try another server.
    Refuse
  };

  Kind kind = Kind::Refuse;
  WorkId work;
  requests::Reason reason = requests::Reason::None;
  // For Retry-After.
  base::Duration retryAfter{};
};

using GateActions = std::vector<GateAction>;

} // namespace sycamore::admission

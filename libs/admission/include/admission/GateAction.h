#pragma once

#include <admission/SlotTable.h>
#include <base/Time.h>
#include <requests/Reason.h>

#include <vector>

namespace sycamore::admission {

// Action that the dispatcher has to perform for one request.
struct GateAction
{
  enum class Kind
  {
    // Send the request to the server now, and call ServerGate::onFinished() or onAbandoned() when
    // it ends.
    Dispatch,
    // Answer that the request has not run, with `reason`, or try another server.
    Refuse
  };

  Kind kind = Kind::Refuse;
  WorkId work;
  requests::Reason reason = requests::Reason::None;
  // Value of the Retry-After header.
  base::Duration retryAfter{};
};

using GateActions = std::vector<GateAction>;

} // namespace sycamore::admission

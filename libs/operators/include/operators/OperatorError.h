#pragma once

#include <base/Error.h>

#include <string>

namespace sycamore::operators {

// Cause of a failed call. Each value has the meaning of the gRPC status of the same name.
enum class OperatorErrorCode
{
  InvalidArgument,
  NotFound,
  Unauthenticated,
  PermissionDenied,
  // A limit of the server was reached; the call can be tried again later.
  ResourceExhausted,
  DeadlineExceeded,
  // The call can't be answered at the moment, or the server could not be reached.
  Unavailable,
  Unimplemented,
  Internal
};

// A failed operator call. An OperatorBackend throws it to set the status of its reply; an
// OperatorClient throws it for each status other than OK.
class OperatorError : public base::Error
{
public:
  OperatorError(OperatorErrorCode code, const std::string& message)
    : base::Error(message)
    , code_(code)
  {
  }

  OperatorErrorCode code() const { return code_; }

private:
  OperatorErrorCode code_;
};

} // namespace sycamore::operators

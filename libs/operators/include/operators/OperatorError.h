#pragma once

#include <base/Error.h>

#include <string>

namespace sycamore::operators {

// Why a call failed, by the meaning of the gRPC status of the same name.
enum class OperatorErrorCode
{
  InvalidArgument,
  NotFound,
  Unauthenticated,
  PermissionDenied,
  // A limit of the server was reached; try later.
  ResourceExhausted,
  DeadlineExceeded,
  // The call can't be answered now, or the server wasn't reached.
  Unavailable,
  Unimplemented,
  Internal
};

// A failed operators' call. A backend throws it to choose the status of its answer; the client
// throws it for each answer that isn't OK.
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

#pragma once

#include <operators/OperatorError.h>

#include <grpcpp/support/status.h>

namespace sycamore::operators {

grpc::StatusCode statusCodeOf(OperatorErrorCode code);
OperatorErrorCode errorCodeOf(grpc::StatusCode code);

} // namespace sycamore::operators

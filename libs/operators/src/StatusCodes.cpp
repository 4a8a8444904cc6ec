#include "StatusCodes.h"

#include <array>
#include <utility>

namespace sycamore::operators {

namespace {

constexpr std::array<std::pair<OperatorErrorCode, grpc::StatusCode>, 9> kCodes{ {
  { OperatorErrorCode::InvalidArgument, grpc::StatusCode::INVALID_ARGUMENT },
  { OperatorErrorCode::NotFound, grpc::StatusCode::NOT_FOUND },
  { OperatorErrorCode::Unauthenticated, grpc::StatusCode::UNAUTHENTICATED },
  { OperatorErrorCode::PermissionDenied, grpc::StatusCode::PERMISSION_DENIED },
  { OperatorErrorCode::ResourceExhausted, grpc::StatusCode::RESOURCE_EXHAUSTED },
  { OperatorErrorCode::DeadlineExceeded, grpc::StatusCode::DEADLINE_EXCEEDED },
  { OperatorErrorCode::Unavailable, grpc::StatusCode::UNAVAILABLE },
  { OperatorErrorCode::Unimplemented, grpc::StatusCode::UNIMPLEMENTED },
  { OperatorErrorCode::Internal, grpc::StatusCode::INTERNAL },
} };

} // namespace

grpc::StatusCode statusCodeOf(OperatorErrorCode code)
{
  for (const auto& [operatorCode, grpcCode] : kCodes) {
    if (operatorCode == code) {
      return grpcCode;
    }
  }
  return grpc::StatusCode::INTERNAL;
}

OperatorErrorCode errorCodeOf(grpc::StatusCode code)
{
  for (const auto& [operatorCode, grpcCode] : kCodes) {
    if (grpcCode == code) {
      return operatorCode;
    }
  }
  return OperatorErrorCode::Internal;
}

} // namespace sycamore::operators

#include <requests/Reason.h>

#include <array>

namespace sycamore::requests {

namespace {

struct ReasonRow
{
  Reason reason;
  std::string_view name;
  int status;
  bool isRetryable;
};

// In the order of the enumeration. 409 means that sending the same id again changes nothing or must
// wait; 503 means that a later attempt may succeed.
constexpr std::array<ReasonRow, 20> kRows{ {
  { Reason::None, "", 200, false },
  { Reason::BadRequest, "bad-request", 400, false },
  { Reason::UnknownService, "unknown-service", 404, false },
  { Reason::UnknownMethod, "unknown-method", 404, false },
  { Reason::NoOwner, "no-owner", 503, true },
  { Reason::NotOwner, "not-owner", 503, true },
  { Reason::NotHolder, "not-holder", 503, true },
  { Reason::Overloaded, "overloaded", 503, true },
  { Reason::Cold, "cold", 503, true },
  { Reason::Draining, "draining", 503, true },
  { Reason::DomainOut, "domain-out", 503, true },
  { Reason::Expired, "expired", 504, false },
  { Reason::Quarantined, "quarantined", 422, false },
  { Reason::ResendUnknown, "resend-unknown", 409, false },
  { Reason::InProgress, "in-progress", 409, false },
  { Reason::ConnectionLost, "connection-lost", 502, true },
  { Reason::Timeout, "timeout", 504, true },
  { Reason::Cancelled, "cancelled", 503, false },
  { Reason::RetryBudget, "retry-budget", 503, false },
  { Reason::Internal, "internal", 500, false },
} };

const ReasonRow& row(Reason reason)
{
  return kRows.at(static_cast<std::size_t>(reason));
}

} // namespace

std::string_view reasonName(Reason reason)
{
  return row(reason).name;
}

std::optional<Reason> parseReason(std::string_view name)
{
  if (name == "stale-term") {
    return Reason::NotHolder;
  }
  for (const ReasonRow& candidate : kRows) {
    if (candidate.reason != Reason::None && candidate.name == name) {
      return candidate.reason;
    }
  }
  return std::nullopt;
}

int httpStatus(Reason reason)
{
  return row(reason).status;
}

bool isRetryable(Reason reason)
{
  return row(reason).isRetryable;
}

} // namespace sycamore::requests

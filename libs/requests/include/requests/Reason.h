#pragma once

#include <optional>
#include <string_view>

namespace sycamore::requests {

// Reason for which a request was refused or its outcome is unknown, as in the Sycamore-Reason
// header. None is for an answer that needs no reason.
enum class Reason
{
  None,
  BadRequest,
  UnknownService,
  UnknownMethod,
  NoOwner,
  NotOwner,
  NotHolder,
  Overloaded,
  Cold,
  Draining,
  DomainOut,
  Expired,
  Quarantined,
  ResendUnknown,
  InProgress,
  ConnectionLost,
  Timeout,
  Cancelled,
  RetryBudget,
  Internal
};

// Returns the value of the Sycamore-Reason header; empty for None.
std::string_view reasonName(Reason reason);

// Parses the value of a Sycamore-Reason header. A backend server's "stale-term" becomes NotHolder,
// since it means that a newer lease holder exists. Nothing for any other value.
std::optional<Reason> parseReason(std::string_view name);

// Returns the HTTP status of a refusal with this reason; 200 for None.
int httpStatus(Reason reason);

// Returns whether another attempt, on the same or another server, can succeed.
bool isRetryable(Reason reason);

} // namespace sycamore::requests

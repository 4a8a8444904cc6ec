#pragma once

#include <optional>
#include <string_view>

namespace sycamore::requests {

// Why a request was refused or its outcome is not known: the fixed words of the Sycamore-Reason
// header. None stands for an answer that needs no reason.
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

// The word of the Sycamore-Reason header; empty for None.
std::string_view reasonName(Reason reason);

// The reason named by a Sycamore-Reason header. A backend server's "stale-term" becomes NotHolder,
// since it says that a newer holder exists. Nothing for any other word.
std::optional<Reason> parseReason(std::string_view word);

// The HTTP status of a refusal with this reason; 200 for None.
int httpStatus(Reason reason);

// Whether another attempt, on this or another server, can have another result.
bool isRetryable(Reason reason);

} // namespace sycamore::requests

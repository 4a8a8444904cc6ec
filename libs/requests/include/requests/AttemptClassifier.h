#pragma once

#include <requests/Outcome.h>
#include <requests/Reason.h>

#include <optional>
#include <string_view>

namespace sycamore::requests {

// Progress of an attempt when it ended.
enum class AttemptProgress
{
  // No byte was written to an open connection.
  NothingSent,
  // Bytes may have reached the server, but no complete head of an answer was received.
  BytesMayHaveArrived,
  // At least a complete head was received, with status 503 and an outcome header.
  RefusedByServer,
  CompleteAnswer,
  // The head of an answer was received, but its body is incomplete.
  TruncatedAnswer
};

// Cause of the end of an attempt without a complete answer.
enum class AttemptEnd
{
  ConnectionLost,
  Timeout,
  Cancelled
};

// An attempt that has ended. The header values are those of the answer, if its head was complete.
struct AttemptReport
{
  AttemptProgress progress = AttemptProgress::NothingSent;
  AttemptEnd end = AttemptEnd::ConnectionLost;
  std::optional<std::string_view> outcomeHeader;
  std::optional<std::string_view> reasonHeader;
};

struct Classification
{
  Outcome outcome = Outcome::Unknown;
  Reason reason = Reason::Internal;

  friend bool operator==(const Classification&, const Classification&) = default;
};

// Determines whether the request is known to have run, from how the attempt ended. An unrecognized
// value of the outcome header gives Unknown. Thread-safe.
Classification classifyAttempt(const AttemptReport& report);

} // namespace sycamore::requests

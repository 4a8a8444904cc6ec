#pragma once

#include <requests/Outcome.h>
#include <requests/Reason.h>

#include <optional>
#include <string_view>

namespace sycamore::requests {

// How far an attempt came.
enum class AttemptProgress
{
  // No byte was handed to a connection that was open.
  NothingSent,
  // Bytes may have reached the server; no complete head of an answer came back.
  BytesMayHaveArrived,
  // A complete answer, or a complete head, whose status is 503 and which has an outcome header.
  RefusedByServer,
  // A complete answer.
  CompleteAnswer,
  // The head of an answer came, its body broke off.
  TruncatedAnswer
};

// What ended an attempt that has no complete answer.
enum class AttemptEnd
{
  ConnectionLost,
  Timeout,
  Cancelled
};

// One ended attempt. The header words are those of the answer, if its head was complete.
struct AttemptReport
{
  AttemptProgress progress = AttemptProgress::NothingSent;
  AttemptEnd end = AttemptEnd::ConnectionLost;
  std::optional<std::string_view> outcomeHeader;
  std::optional<std::string_view> reasonHeader;
};

// Outcome and reason of an attempt.
struct Classification
{
  Outcome outcome = Outcome::Unknown;
  Reason reason = Reason::Internal;

  friend bool operator==(const Classification&, const Classification&) = default;
};

// Tells what is known of the execution after an attempt. A word that is not understood in the
// outcome header gives Unknown. Safe from all threads.
Classification classifyAttempt(const AttemptReport& report);

} // namespace sycamore::requests

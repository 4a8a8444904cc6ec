#include <requests/AttemptClassifier.h>

namespace sycamore::requests {

namespace {

Reason reasonOfEnd(AttemptEnd end)
{
  switch (end) {
    case AttemptEnd::ConnectionLost:
      return Reason::ConnectionLost;
    case AttemptEnd::Timeout:
      return Reason::Timeout;
    case AttemptEnd::Cancelled:
      break;
  }
  return Reason::Cancelled;
}

Reason reasonOfHeader(const AttemptReport& report)
{
  if (!report.reasonHeader) {
    return Reason::Internal;
  }
  return parseReason(*report.reasonHeader).value_or(Reason::Internal);
}

// A server also reports "unknown" if its grant expired during the execution. An unrecognized value
// proves nothing and counts as unknown.
Classification classifyRefusal(const AttemptReport& report)
{
  const std::optional<Outcome> reported =
    report.outcomeHeader ? parseOutcome(*report.outcomeHeader) : std::nullopt;
  if (reported == Outcome::Ran) {
    return { Outcome::Ran, Reason::None };
  }
  return { reported.value_or(Outcome::Unknown), reasonOfHeader(report) };
}

} // namespace

Classification classifyAttempt(const AttemptReport& report)
{
  switch (report.progress) {
    case AttemptProgress::NothingSent:
      return { Outcome::NotRun, reasonOfEnd(report.end) };
    case AttemptProgress::RefusedByServer:
      return classifyRefusal(report);
    case AttemptProgress::CompleteAnswer:
      return { Outcome::Ran, Reason::None };
    case AttemptProgress::BytesMayHaveArrived:
    case AttemptProgress::TruncatedAnswer:
      break;
  }
  return { Outcome::Unknown, reasonOfEnd(report.end) };
}

} // namespace sycamore::requests

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

// A server may also answer "unknown", when its grant lapsed during the execution. A word that is
// not understood proves nothing.
Classification classifyRefusal(const AttemptReport& report)
{
  const std::optional<Outcome> said =
    report.outcomeHeader ? parseOutcome(*report.outcomeHeader) : std::nullopt;
  if (said == Outcome::Ran) {
    return { Outcome::Ran, Reason::None };
  }
  return { said.value_or(Outcome::Unknown), reasonOfHeader(report) };
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

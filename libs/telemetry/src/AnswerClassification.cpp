#include <telemetry/AnswerClassification.h>

namespace sycamore::telemetry {

namespace {

using Kind = AnswerClassification::Kind;
using requests::Reason;

AnswerClassification bad(BadAnswerCause cause)
{
  return { Kind::Bad, cause };
}

AnswerClassification classifyFailure(Reason reason, bool ownershipChanging)
{
  switch (reason) {
    case Reason::BadRequest:
    case Reason::UnknownService:
    case Reason::UnknownMethod:
    case Reason::Quarantined:
    case Reason::InProgress:
    case Reason::Cancelled:
      return { Kind::Excluded, {} };
    case Reason::NoOwner:
    case Reason::NotOwner:
    case Reason::NotHolder:
    case Reason::Draining:
    case Reason::ConnectionLost:
    // The lease holder that knew about the earlier send has failed.
    case Reason::ResendUnknown:
      return bad(BadAnswerCause::Failover);
    case Reason::Timeout:
      return bad(ownershipChanging ? BadAnswerCause::Failover : BadAnswerCause::Slow);
    case Reason::Overloaded:
    case Reason::Expired:
    case Reason::RetryBudget:
      return bad(BadAnswerCause::Shed);
    case Reason::Cold:
      return bad(BadAnswerCause::ColdStart);
    case Reason::DomainOut:
      return bad(BadAnswerCause::DomainOut);
    case Reason::None:
    case Reason::Internal:
      break;
  }
  return bad(BadAnswerCause::Other);
}

} // namespace

AnswerClassification classifyAnswer(const RequestSample& sample,
                                    base::Duration objective,
                                    bool ownershipChanging)
{
  if (sample.outcome != requests::Outcome::Ran) {
    return classifyFailure(sample.reason, ownershipChanging);
  }
  if (sample.reason == Reason::Cancelled) {
    return { Kind::Excluded, {} };
  }
  if (sample.isTruncated) {
    return bad(sample.reason == Reason::None
                 ? BadAnswerCause::Other
                 : classifyFailure(sample.reason, ownershipChanging).cause);
  }
  return sample.latency <= objective ? AnswerClassification{ Kind::Good, {} }
                                     : bad(BadAnswerCause::Slow);
}

} // namespace sycamore::telemetry

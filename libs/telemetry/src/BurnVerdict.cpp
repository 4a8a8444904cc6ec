#include <telemetry/BurnVerdict.h>

namespace sycamore::telemetry {

namespace {

using Kind = BurnVerdict::Kind;
using requests::Reason;

BurnVerdict bad(BurnCause cause)
{
  return { Kind::Bad, cause };
}

BurnVerdict judgeRefusal(Reason reason, bool moving)
{
  switch (reason) {
    case Reason::BadRequest:
    case Reason::UnknownService:
    case Reason::UnknownMethod:
    case Reason::Quarantined:
    case Reason::InProgress:
    case Reason::Cancelled:
      return { Kind::Neither, {} };
    case Reason::NoOwner:
    case Reason::NotOwner:
    case Reason::NotHolder:
    case Reason::Draining:
    case Reason::ConnectionLost:
    // The holder that knew the earlier send is gone.
    case Reason::ResendUnknown:
      return bad(BurnCause::Failover);
    case Reason::Timeout:
      return bad(moving ? BurnCause::Failover : BurnCause::Slow);
    case Reason::Overloaded:
    case Reason::Expired:
    case Reason::RetryBudget:
      return bad(BurnCause::Shed);
    case Reason::Cold:
      return bad(BurnCause::ColdStart);
    case Reason::DomainOut:
      return bad(BurnCause::DomainOut);
    case Reason::None:
    case Reason::Internal:
      break;
  }
  return bad(BurnCause::Other);
}

} // namespace

BurnVerdict judgeAnswer(const RequestSample& sample, base::Duration objective, bool moving)
{
  if (sample.outcome != requests::Outcome::Ran) {
    return judgeRefusal(sample.reason, moving);
  }
  if (sample.reason == Reason::Cancelled) {
    return { Kind::Neither, {} };
  }
  if (sample.brokenOff) {
    return bad(sample.reason == Reason::None ? BurnCause::Other
                                             : judgeRefusal(sample.reason, moving).cause);
  }
  return sample.latency <= objective ? BurnVerdict{ Kind::Good, {} } : bad(BurnCause::Slow);
}

} // namespace sycamore::telemetry

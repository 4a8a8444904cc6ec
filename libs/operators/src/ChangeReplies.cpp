#include <configuration/StoredValue.h>
#include <operators/ChangeReplies.h>

namespace sycamore::operators {

namespace {

using configuration::ChangeVerdict;

ReplyOutcome outcomeOf(ChangeVerdict verdict)
{
  switch (verdict) {
    case ChangeVerdict::Confirmed:
      return ReplyOutcome::Confirmed;
    case ChangeVerdict::Conflict:
      return ReplyOutcome::Conflict;
    case ChangeVerdict::InDoubt:
      return ReplyOutcome::InDoubt;
    case ChangeVerdict::Refused:
      return ReplyOutcome::Refused;
    case ChangeVerdict::Planned:
      return ReplyOutcome::Planned;
  }
  return ReplyOutcome::Unspecified;
}

} // namespace

ChangeReply replyOf(const configuration::ChangeOutcome& outcome)
{
  ChangeReply reply;
  reply.outcome = outcomeOf(outcome.verdict);
  reply.version = outcome.version.value();
  reply.message = outcome.message;
  reply.writer = outcome.writer;
  for (const auto& fault : outcome.faults) {
    reply.faults.push_back({ fault.path, fault.message });
  }
  for (const auto& difference : outcome.differences) {
    reply.differences.push_back({ difference.path, difference.yours, difference.theirs });
  }
  if (outcome.object) {
    reply.current = configuration::StoredValue::parse(outcome.object->value).document();
  }
  return reply;
}

StoredObject storedObjectOf(const configuration::ConfigObject& object)
{
  const auto stored = configuration::StoredValue::parse(object.value);
  return { object.name.value(), object.version.value(), stored.document(), stored.isDeleted() };
}

} // namespace sycamore::operators

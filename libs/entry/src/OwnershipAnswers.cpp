#include <entry/OwnershipAnswers.h>

#include <wire/ServerProtocol.h>

namespace sycamore::entry {

dispatch::GrantAnswer grantAnswerOf(const ExchangeResult& result)
{
  if (result.end == ExchangeEnd::NotSent) {
    return result.answer.status != 0 ? dispatch::GrantAnswer::ConnectionEnded
                                     : dispatch::GrantAnswer::NotSent;
  }
  if (result.end != ExchangeEnd::Answered) {
    return dispatch::GrantAnswer::OutcomeUnknown;
  }
  const dispatch::GrantAnswer answer = wire::readGrantAnswer(result.answer.status);
  return answer == dispatch::GrantAnswer::OtherServer && result.reused
           ? dispatch::GrantAnswer::OutcomeUnknown
           : answer;
}

dispatch::ReleaseAnswer releaseAnswerOf(const ExchangeResult& result)
{
  dispatch::ReleaseAnswer answer;
  if (result.end == ExchangeEnd::NotSent) {
    answer.kind = dispatch::ReleaseAnswer::Kind::NotSent;
  } else if (result.end == ExchangeEnd::Answered && !result.reused) {
    answer = wire::readReleaseAnswer(result.answer.status, result.answer.fields);
  }
  return answer;
}

} // namespace sycamore::entry

#include <entry/AnswerCheck.h>

#include <wire/ServerProtocol.h>

namespace sycamore::entry {

AnswerVerdict checkAnswer(const ServerAnswer& answer, const std::string& requestId)
{
  const unsigned status = answer.status;
  const wire::AnswerMetadata metadata = wire::readAnswerMetadata(status, answer.fields);
  const bool isSuccess = status >= 200 && status < 300;
  const bool isEncoded = answer.fields.contains("Content-Encoding");
  if (isSuccess && (!metadata.hasSignature || metadata.requestId != requestId || isEncoded)) {
    return AnswerVerdict::Unverified;
  }
  if (promisesNotRun(status)) {
    return metadata.hasSignature ? AnswerVerdict::UnconfirmedRefusal : AnswerVerdict::Unverified;
  }
  return AnswerVerdict::Usable;
}

bool promisesNotRun(unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace sycamore::entry

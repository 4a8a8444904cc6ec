#include <router/Answer.h>

#include <router/Headers.h>

#include <charconv>

namespace sycamore::router {

using requests::AttemptEnd;
using requests::AttemptProgress;
using requests::AttemptReport;
using transport::ExchangeResult;
using transport::ResponseHead;

namespace {

constexpr const char* kOutcomeHeaderLower = "sycamore-outcome";
constexpr const char* kReasonHeaderLower = "sycamore-reason";
constexpr const char* kRequestIdHeaderLower = "sycamore-request-id";

std::optional<std::size_t> contentLengthOf(const ResponseHead& head)
{
  const auto text = head.header("content-length");
  std::size_t length = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), length).ec != std::errc()) {
    return std::nullopt;
  }
  return length;
}

bool isRefusal(const ResponseHead& head)
{
  const auto outcome = head.header(kOutcomeHeaderLower);
  return outcome && *outcome != requests::outcomeName(requests::Outcome::Ran);
}

} // namespace

Answer::Answer(transport::ServerResponse& response, base::RequestId id, std::size_t storeLimit)
  : response_(response)
  , id_(std::move(id))
  , storeLimit_(storeLimit)
{
}

transport::ResponseReceiver Answer::receiver(const base::ServerId& from, Sender sender)
{
  head_ = {};
  headReceived_ = false;
  receivedOtherAnswer_ = false;
  heldBack_ = false;
  return { [this, from, sender](const ResponseHead& head) { return onHead(head, from, sender); },
           [this](std::string_view part) { return onBody(part); },
           // A second copy of a refusal would be taken for the answer to the next attempt, which
           // has the same id.
           [this, sender] { return sender == Sender::EntryVm || !heldBack_; } };
}

bool Answer::belongsToOtherRequest(const ResponseHead& head) const
{
  const auto id = head.header(kRequestIdHeaderLower);
  return id && *id != id_.value();
}

bool Answer::onHead(const ResponseHead& head, const base::ServerId& from, Sender sender)
{
  receivedOtherAnswer_ = belongsToOtherRequest(head);
  if (receivedOtherAnswer_) {
    return false;
  }
  head_ = head;
  headReceived_ = true;
  heldBack_ = isRefusal(head);
  if (heldBack_) {
    return true;
  }
  const HopByHopNames hopByHop(head.headers);
  for (const auto& [name, value] : head.headers) {
    if (!hopByHop.contains(name) && !isReserved(name)) {
      response_.setHeader(name, value);
    }
  }
  setRouterHeaders(from, sender);
  committed_ = true;
  const bool bodyless = head.status == 204 || head.status == 304;
  if (!response_.begin(head.status,
                       bodyless ? std::optional<std::size_t>(0) : contentLengthOf(head))) {
    callerDisconnected_ = true;
  }
  return !callerDisconnected_;
}

void Answer::setRouterHeaders(const base::ServerId& from, Sender sender)
{
  std::string server = from.value();
  if (sender == Sender::EntryVm) {
    server = header("sycamore-server").value_or(server);
    if (const auto replayed = header("sycamore-replayed")) {
      response_.setHeader(kReplayedHeader, *replayed);
    }
  }
  response_.setHeader(kServerHeader, server);
  response_.setHeader(kOutcomeHeader, std::string(outcomeName(requests::Outcome::Ran)));
  response_.setHeader(kRequestIdHeader, id_.value());
}

bool Answer::onBody(std::string_view part)
{
  if (heldBack_) {
    return true;
  }
  if (storedBody_.size() + part.size() <= storeLimit_) {
    storedBody_.append(part);
  } else {
    isStoredBodyComplete_ = false;
  }
  if (!response_.write(part)) {
    callerDisconnected_ = true;
  }
  return !callerDisconnected_;
}

bool Answer::complete()
{
  return response_.end();
}

requests::StoredAnswer Answer::storedAnswer() const
{
  requests::StoredAnswer answer;
  answer.status = head_.status;
  answer.contentType = head_.header("content-type").value_or("application/octet-stream");
  answer.bodyKept = isStoredBodyComplete_;
  if (isStoredBodyComplete_) {
    answer.body = storedBody_;
  }
  return answer;
}

requests::Classification Answer::classify(ExchangeResult result) const
{
  AttemptReport report;
  const auto outcome = head_.header(kOutcomeHeaderLower);
  const auto reason = head_.header(kReasonHeaderLower);
  if (outcome) {
    report.outcomeHeader = *outcome;
  }
  if (reason) {
    report.reasonHeader = *reason;
  }
  switch (result) {
    case ExchangeResult::NotSent:
      report.progress = AttemptProgress::NothingSent;
      break;
    case ExchangeResult::Complete:
      report.progress =
        heldBack_ ? AttemptProgress::RefusedByServer : AttemptProgress::CompleteAnswer;
      break;
    case ExchangeResult::ConnectionLost:
    case ExchangeResult::TimedOut:
    case ExchangeResult::Aborted:
      report.progress =
        headReceived_ ? AttemptProgress::TruncatedAnswer : AttemptProgress::BytesMayHaveArrived;
      break;
  }
  if (result == ExchangeResult::TimedOut) {
    report.end = AttemptEnd::Timeout;
  } else if (result == ExchangeResult::Aborted && !receivedOtherAnswer_) {
    report.end = AttemptEnd::Cancelled;
  }
  return classifyAttempt(report);
}

} // namespace sycamore::router

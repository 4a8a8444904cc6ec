#include <router/RequestRouter.h>

#include "CallerRequestHandler.h"

#include <requests/RetryAfter.h>
#include <router/Headers.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>

namespace sycamore::router {

using base::SteadyClock;
using base::TimePoint;
using requests::Classification;
using requests::Outcome;
using requests::Reason;
using transport::ExchangeResult;

namespace {

constexpr std::string_view kDispatchPrefix = "/peer/dispatch";
constexpr std::size_t kStoredAnswerBytes = 16 * 1024;
// Time after the deadline within which an answer is still accepted: the server stops at the
// deadline, and its refusal still has to arrive.
constexpr base::milliseconds kAnswerMargin{ 20 };
// A request that any server may run waits for one server for a quarter of its remaining time, but
// at least this long, before another server is tried: abandoned attempts may hold all slots of the
// first.
constexpr base::milliseconds kMinUnkeyedWait{ 20 };
constexpr base::milliseconds kCancelTimeout{ 200 };
constexpr std::size_t kMaxDiscardedBodyBytes = 1 << 20;

std::string remainingMillis(TimePoint deadline)
{
  const auto remaining =
    std::chrono::duration_cast<std::chrono::milliseconds>(deadline - SteadyClock().now());
  return std::to_string(std::max<long>(1, remaining.count()));
}

transport::ClientRequest makeRequest(IncomingRequest& request, const std::string& path)
{
  transport::ClientRequest out;
  out.method = request.httpMethod;
  out.path = path;
  out.headers = request.headers;
  if (request.isStreamed) {
    out.bodyLength = request.bodyLength;
    out.bodySource = [&request, source = request.source, left = request.bodyLimit](
                       const transport::BodyWriter& write) mutable {
      request.isBodyUsed = true;
      return source->readBody([&](std::string_view part) {
        if (part.size() > left) {
          return false;
        }
        left -= part.size();
        return write(part);
      });
    };
  } else {
    out.body = request.body;
  }
  return out;
}

std::optional<base::Duration> parseRetryAfterHint(const Answer& answer)
{
  if (const auto millis = answer.header("sycamore-retry-after-ms")) {
    long value = 0;
    std::from_chars(millis->data(), millis->data() + millis->size(), value);
    return base::milliseconds(value);
  }
  const auto text = answer.header("retry-after");
  if (!text) {
    return std::nullopt;
  }
  return requests::parseRetryAfter(*text, wallTime());
}

base::ShardId parseShard(const std::string& text)
{
  std::uint32_t shard = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, shard);
  if (result.ec != std::errc() || result.ptr != end) {
    throw BadRequest{ "Sycamore-Shard must be a whole number from 0 to 4294967295" };
  }
  return base::ShardId(shard);
}

} // namespace

void discardBody(transport::ServerRequest& request, transport::ServerResponse& response)
{
  if (request.bodyLength() == std::optional<std::size_t>(0)) {
    return;
  }
  std::size_t discarded = 0;
  const bool complete = request.readBody([&](std::string_view part) {
    discarded += part.size();
    return discarded <= kMaxDiscardedBodyBytes;
  });
  if (!complete) {
    response.closeConnection();
  }
}

RequestRouter::RequestRouter(RouterContext context, RequestLimits limits)
  : context_(std::move(context))
  , parser_(limits)
  , pickers_(std::random_device{}())
{
}

void RequestRouter::handleCaller(transport::ServerRequest& request,
                                 transport::ServerResponse& response)
{
  try {
    IncomingRequest incoming = parser_.parse(request, SteadyClock().now());
    CallerRequestHandler(*this, incoming, response).run();
  } catch (const BadRequest& bad) {
    discardBody(request, response);
    const auto id = request.header(kRequestIdHeader);
    sendRefusal(response,
                base::RequestId(id ? *id : std::string()),
                { Outcome::NotRun, Reason::BadRequest },
                bad.message,
                base::Duration());
  }
}

AttemptResult RequestRouter::attempt(IncomingRequest& request,
                                     const RouteTarget& target,
                                     const configuration::MethodConfig& method,
                                     Answer& answer)
{
  if (target.server->holder != context_.self) {
    return forward(request, target, answer);
  }
  const auto dispatcher = context_.dispatchers.find(target.server->id);
  if (!dispatcher) {
    return { { Outcome::NotRun, Reason::NotHolder }, {}, {} };
  }
  return dispatch(request, *dispatcher, target.shard, method, answer);
}

AttemptResult RequestRouter::forward(IncomingRequest& request,
                                     const RouteTarget& target,
                                     Answer& answer)
{
  transport::ClientRequest out =
    makeRequest(request, std::string(kDispatchPrefix) + request.target);
  out.headers.emplace_back(kRequestIdHeader, request.id.value());
  out.headers.emplace_back(kAttemptHeader, std::to_string(request.attempt));
  out.headers.emplace_back(kDeadlineHeader, remainingMillis(request.deadline));
  out.headers.emplace_back(kServerHeader, target.server->id.value());
  if (request.key) {
    out.headers.emplace_back(kKeyHeader, request.key->value());
  }
  if (target.shard) {
    out.headers.emplace_back(kShardHeader, std::to_string(target.shard->value()));
  }
  const ExchangeResult result =
    exchange(request,
             target.server->holderAddress,
             out,
             answer.receiver(target.server->id, Answer::Sender::EntryVm));
  return { answer.classify(result), parseRetryAfterHint(answer), {} };
}

void RequestRouter::handleForwarded(transport::ServerRequest& request,
                                    transport::ServerResponse& response)
{
  class ForwardedView : public transport::ServerRequest
  {
  public:
    explicit ForwardedView(transport::ServerRequest& request)
      : request_(request)
      , path_(request.path().substr(kDispatchPrefix.size()))
      , target_(request.target().substr(kDispatchPrefix.size()))
    {
    }
    const std::string& method() const override { return request_.method(); }
    const std::string& path() const override { return path_; }
    const std::string& target() const override { return target_; }
    std::optional<std::string> header(const std::string& name) const override
    {
      return request_.header(name);
    }
    transport::HeaderList headers() const override { return request_.headers(); }
    std::optional<std::string> parameter(const std::string& name) const override
    {
      return request_.parameter(name);
    }
    std::optional<std::size_t> bodyLength() const override { return request_.bodyLength(); }
    bool readBody(const transport::BodyWriter& receive) override
    {
      return request_.readBody(receive);
    }
    std::optional<std::string> readBody(std::size_t limit) override
    {
      return request_.readBody(limit);
    }
    std::function<bool()> senderProbe() const override { return request_.senderProbe(); }

  private:
    transport::ServerRequest& request_;
    std::string path_;
    std::string target_;
  };

  ForwardedView view(request);
  AttemptResult result{ { Outcome::NotRun, Reason::NotHolder }, {}, {} };
  base::RequestId id;
  try {
    IncomingRequest incoming = parser_.parse(view, SteadyClock().now());
    id = incoming.id;
    if (!incoming.isStreamed) {
      auto body = view.readBody(*incoming.bodyLength);
      if (!body) {
        throw BadRequest{ "the request body is truncated" };
      }
      incoming.body = std::move(*body);
    }
    Answer answer(response, id, kStoredAnswerBytes);
    const auto server = request.header(kServerHeader);
    const auto shardText = request.header(kShardHeader);
    std::optional<base::ShardId> shard;
    if (shardText) {
      shard = parseShard(*shardText);
    }
    const auto table = context_.routing.current();
    const auto* service = table->findConfig(incoming.service);
    const auto dispatcher = context_.dispatchers.find(base::ServerId(server.value_or("")));
    if (service != nullptr && dispatcher) {
      const auto method = service->methods.find(incoming.method);
      if (method == service->methods.end()) {
        result.verdict.reason = Reason::UnknownMethod;
      } else {
        result = dispatch(incoming, *dispatcher, shard, method->second, answer);
      }
    }
    if (result.replayedAnswer) {
      discardBody(view, response);
      response.setHeader(kOutcomeHeader, std::string(outcomeName(Outcome::Ran)));
      response.setHeader(kReplayedHeader,
                         result.replayedAnswer->bodyKept ? "whole" : "without-body");
      response.send(result.replayedAnswer->status,
                    result.replayedAnswer->body,
                    result.replayedAnswer->contentType);
      return;
    }
    if (answer.isCommitted()) {
      if (result.verdict.outcome == Outcome::Ran) {
        answer.complete();
      }
      return;
    }
  } catch (const BadRequest&) {
    result.verdict.reason = Reason::BadRequest;
  }
  discardBody(view, response);
  const auto hint =
    std::chrono::ceil<std::chrono::milliseconds>(result.retryAfter.value_or(base::Duration()));
  response.setHeader(kRetryAfterMsHeader, std::to_string(hint.count()));
  sendRefusal(response,
              id,
              result.verdict,
              std::string(reasonName(result.verdict.reason)),
              result.retryAfter.value_or(base::Duration()));
}

AttemptResult RequestRouter::dispatch(IncomingRequest& request,
                                      ServerDispatcher& dispatcher,
                                      const std::optional<base::ShardId>& shard,
                                      const configuration::MethodConfig& method,
                                      Answer& answer)
{
  if (method.idempotent) {
    return admitAndSend(request, dispatcher, shard, answer);
  }
  return dispatchNonIdempotent(request, dispatcher, shard, answer);
}

AttemptResult RequestRouter::dispatchNonIdempotent(IncomingRequest& request,
                                                   ServerDispatcher& dispatcher,
                                                   const std::optional<base::ShardId>& shard,
                                                   Answer& answer)
{
  const std::string& id = request.id.value();
  if (shard && !dispatcher.mayDispatch(shard)) {
    // Only the deduplication table at the shard's current owner may record the id.
    return { { Outcome::NotRun, Reason::NotOwner }, {}, {} };
  }
  const auto decision =
    dispatcher.beginDeduplicated(id, request.attempt, request.fingerprint(), shard);
  if (decision.verdict == requests::DeduplicationVerdict::ReplayAnswer) {
    return { { Outcome::Ran, Reason::None }, {}, decision.answer };
  }
  if (decision.verdict == requests::DeduplicationVerdict::Refuse) {
    return { { decision.outcome, decision.reason }, decision.retryAfter, {} };
  }
  AttemptResult result = admitAndSend(request, dispatcher, shard, answer);
  switch (result.verdict.outcome) {
    case Outcome::Ran:
      dispatcher.markRan(id, answer.storedAnswer());
      break;
    case Outcome::NotRun:
      dispatcher.markNotRun(id);
      break;
    case Outcome::Unknown:
      dispatcher.markUnknown(id);
      break;
  }
  return result;
}

AttemptResult RequestRouter::admitAndSend(IncomingRequest& request,
                                          ServerDispatcher& dispatcher,
                                          const std::optional<base::ShardId>& shard,
                                          Answer& answer)
{
  const requests::WorkIdentity identity = request.identity();
  const requests::QuarantineDecision decision = context_.quarantine.check(identity);
  if (decision == requests::QuarantineDecision::Refuse) {
    return { { Outcome::NotRun, Reason::Quarantined }, {}, {} };
  }
  AdmissionRequest admission;
  admission.shard = shard;
  admission.flow = request.key ? request.key->value() : request.id.value();
  admission.deadline = request.deadline;
  admission.bytes = request.body.size();
  admission.exclusive = decision == requests::QuarantineDecision::RunAlone;
  if (!shard) {
    admission.maxWait =
      std::max<base::Duration>(kMinUnkeyedWait, (request.deadline - SteadyClock().now()) / 4);
  }
  admission.isSenderDisconnected = request.isSenderDisconnected;
  const Admission slot = dispatcher.admit(admission);
  if (!slot.admitted) {
    return { { Outcome::NotRun, slot.reason }, slot.retryAfter, {} };
  }
  return send(request, dispatcher, shard, slot, identity, answer);
}

AttemptResult RequestRouter::send(IncomingRequest& request,
                                  ServerDispatcher& dispatcher,
                                  const std::optional<base::ShardId>& shard,
                                  const Admission& admission,
                                  const requests::WorkIdentity& identity,
                                  Answer& answer)
{
  transport::ClientRequest out = makeRequest(request, request.target);
  out.headers.emplace_back(kServiceHeader, request.service.value());
  out.headers.emplace_back(kMethodHeader, request.method.value());
  out.headers.emplace_back(kRequestIdHeader, request.id.value());
  out.headers.emplace_back(kTermHeader, std::to_string(admission.term.value()));
  out.headers.emplace_back(kDeadlineHeader, remainingMillis(request.deadline));
  if (request.key) {
    out.headers.emplace_back(kKeyHeader, request.key->value());
  }
  if (shard) {
    out.headers.emplace_back(kShardHeader, std::to_string(shard->value()));
  }
  // The thread may have been suspended since the request was admitted.
  if (!dispatcher.mayDispatch(shard)) {
    const Classification refused{ Outcome::NotRun, Reason::NotOwner };
    dispatcher.onFinished(admission.work, refused);
    return { refused, {}, {} };
  }
  dispatcher.onStarted(admission.work, identity);
  const ExchangeResult result =
    exchange(request,
             dispatcher.address(),
             out,
             answer.receiver(dispatcher.server(), Answer::Sender::BackendServer));
  const Classification verdict = answer.classify(result);
  if (verdict.outcome == Outcome::Unknown) {
    dispatcher.onAbandoned(admission.work);
    if (result == ExchangeResult::TimedOut || result == ExchangeResult::Aborted ||
        request.isSenderDisconnected()) {
      cancelAtServer(request, dispatcher, admission.work);
    }
  } else {
    dispatcher.onFinished(admission.work, verdict);
  }
  if (verdict.outcome == Outcome::Ran) {
    context_.quarantine.recordCompletion(identity);
  }
  return { verdict, parseRetryAfterHint(answer), {} };
}

ExchangeResult RequestRouter::exchange(IncomingRequest& request,
                                       const std::string& address,
                                       transport::ClientRequest& out,
                                       const transport::ResponseReceiver& receiver)
{
  transport::CancelHandle cancel;
  const DisconnectMonitor::Watch watch(monitor_, request.isSenderDisconnected, cancel);
  return context_.clients.exchange(
    address, out, receiver, request.deadline + kAnswerMargin, &cancel);
}

void RequestRouter::cancelAtServer(const IncomingRequest& request,
                                   ServerDispatcher& dispatcher,
                                   admission::WorkId work)
{
  transport::ClientRequest out;
  out.path = "/sycamore/cancel";
  out.body = nlohmann::json{ { "request_id", request.id.value() } }.dump();
  out.headers.emplace_back("Content-Type", "application/json");
  const auto reply =
    context_.clients.fetch(dispatcher.address(), out, SteadyClock().now() + kCancelTimeout);
  if (reply.ok()) {
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    if (body.is_object() && body.value("cancelled", false)) {
      dispatcher.onCancelConfirmed(work);
    }
  }
}

} // namespace sycamore::router

#include "CallerRequestHandler.h"

#include <router/Headers.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace sycamore::router {

using base::SteadyClock;
using base::TimePoint;
using requests::Classification;
using requests::Outcome;
using requests::Reason;

namespace {

// Interval at which a request looks for another route, until its deadline, while the owner of its
// key is unknown or cannot be reached.
constexpr base::milliseconds kRerouteInterval{ 10 };
constexpr base::milliseconds kDefaultRetryAfter{ 1000 };
constexpr std::size_t kStoredAnswerBytes = 16 * 1024;

// Returns whether a refusal of a resend proves that no earlier send of the request ran. Only the
// deduplication table at the server's lease holder knows that, and the listed reasons arise before
// the table is consulted.
bool provesNoEarlierRun(Reason reason, bool idempotent)
{
  switch (reason) {
    case Reason::NoOwner:
    case Reason::NotOwner:
    case Reason::NotHolder:
    case Reason::ConnectionLost:
    case Reason::Timeout:
    case Reason::Cancelled:
    case Reason::Internal:
      return false;
    default:
      // The deduplication table does not record idempotent requests.
      return !idempotent;
  }
}

} // namespace

void sendRefusal(transport::ServerResponse& response,
                 const base::RequestId& id,
                 const Classification& verdict,
                 const std::string& message,
                 base::Duration retryAfter)
{
  const std::string outcome(outcomeName(verdict.outcome));
  const std::string reason(reasonName(verdict.reason));
  response.setHeader(kOutcomeHeader, outcome);
  response.setHeader(kReasonHeader, reason);
  response.setHeader(kRequestIdHeader, id.value());
  if (isRetryable(verdict.reason)) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    response.setHeader("Retry-After", std::to_string(std::max<long>(1, seconds.count())));
  }
  const nlohmann::json body = { { "outcome", outcome },
                                { "reason", reason },
                                { "message", message } };
  response.send(httpStatus(verdict.reason), body.dump() + "\n", "application/json");
}

RequestRouter::CallerRequestHandler::CallerRequestHandler(RequestRouter& router,
                                                          IncomingRequest& request,
                                                          transport::ServerResponse& response)
  : router_(router)
  , request_(request)
  , response_(response)
  , answer_(response, request.id, kStoredAnswerBytes)
  , startedAt_(SteadyClock().now())
  , random_(std::hash<std::string>{}(request.id.value()))
{
}

void RequestRouter::CallerRequestHandler::run()
{
  configTable_ = router_.context_.routing.current();
  service_ = configTable_->findConfig(request_.service);
  if (service_ == nullptr) {
    refuse({ { Outcome::NotRun, Reason::UnknownService }, {}, {} });
    return;
  }
  const auto found = service_->methods.find(request_.method);
  if (found == service_->methods.end()) {
    refuse({ { Outcome::NotRun, Reason::UnknownMethod }, {}, {} });
    return;
  }
  method_ = &found->second;
  request_.deadline = std::min(request_.deadline, startedAt_ + method_->deadline);
  request_.bodyLimit = service_->limits.bodyBytes;
  const bool tooLong = request_.bodyLength.value_or(0) > request_.bodyLimit;
  const bool lacksKey = service_->keyed && !request_.key;
  const bool lacksId = !method_->idempotent && !request_.hasCallerId;
  if (tooLong || lacksKey || lacksId) {
    refuse({ { Outcome::NotRun, Reason::BadRequest }, {}, {} });
    return;
  }
  if (!request_.isStreamed) {
    auto body = request_.source->readBody(*request_.bodyLength);
    if (!body) {
      refuse({ { Outcome::NotRun, Reason::BadRequest }, {}, {} });
      return;
    }
    request_.body = std::move(*body);
  }
  if (request_.key && router_.context_.keyObserver) {
    router_.context_.keyObserver(request_.service, *request_.key);
  }
  AttemptResult result = attemptUntilSettled();
  if (request_.attempt > 1 && result.verdict.outcome == Outcome::NotRun &&
      !provesNoEarlierRun(result.verdict.reason, method_->idempotent)) {
    result.verdict.outcome = Outcome::Unknown;
  }
  if (result.replayedAnswer) {
    replayAnswer(*result.replayedAnswer);
  } else if (result.verdict.outcome == Outcome::Ran && answer_.isCommitted()) {
    status_ = answer_.complete() ? answer_.status() : 0;
  } else if (!answer_.isCommitted()) {
    refuse(result);
    return;
  }
  notifyObserver(result);
}

std::optional<RouteTarget> RequestRouter::CallerRequestHandler::findTarget()
{
  table_ = router_.context_.routing.current();
  if (service_->keyed || !method_->idempotent) {
    // A non-idempotent request of a service that is not sharded by key is routed by its id, so that
    // its resend reaches the same deduplication table.
    const base::Key key = request_.key ? *request_.key : base::Key(request_.id.value());
    auto target = table_->routeKey(request_.service, key);
    if (target && (!target->server->hasHolder() || !target->server->available)) {
      return std::nullopt;
    }
    return target;
  }
  const auto server = router_.pickers_.pick(request_.service, *table_, lastServer_);
  const ServiceRoute* route = table_->findService(request_.service);
  if (!server || route == nullptr) {
    return std::nullopt;
  }
  const auto found = route->servers.find(*server);
  if (found == route->servers.end()) {
    return std::nullopt;
  }
  return RouteTarget{ &found->second, std::nullopt };
}

AttemptResult RequestRouter::CallerRequestHandler::attemptUntilSettled()
{
  for (;;) {
    const auto target = findTarget();
    if (!target) {
      if (pause(kRerouteInterval)) {
        continue;
      }
      return { { outcome_, Reason::NoOwner }, {}, {} };
    }
    const TimePoint attemptStart = SteadyClock().now();
    const std::uint64_t sendId = router_.nextSendId_++;
    const base::ServerId server = target->server->id;
    router_.pickers_.onSent(request_.service, server, sendId);
    AttemptResult result = router_.attempt(request_, *target, *method_, answer_);
    router_.pickers_.onFinished(
      request_.service, server, sendId, result.verdict.outcome == Outcome::Ran);
    ++attempts_;
    lastServer_ = server;
    if (result.verdict.reason == Reason::Overloaded || result.verdict.reason == Reason::Cold) {
      router_.pickers_.onOverloaded(
        request_.service, server, result.retryAfter.value_or(base::Duration(kRerouteInterval)));
    }
    outcome_ = requests::combineOutcomes(outcome_, result.verdict.outcome);
    if (result.replayedAnswer || answer_.isCommitted()) {
      return result;
    }
    if (shouldReroute(result) && pause(kRerouteInterval)) {
      ++reroutes_;
      continue;
    }
    if (shouldRetry(result, attemptStart)) {
      continue;
    }
    result.verdict.outcome = outcome_;
    return result;
  }
}

bool RequestRouter::CallerRequestHandler::shouldReroute(const AttemptResult& result) const
{
  // A streamed body cannot be sent again once it has been read.
  if (result.verdict.outcome != Outcome::NotRun || request_.isBodyUsed) {
    return false;
  }
  switch (result.verdict.reason) {
    case Reason::NotOwner:
    case Reason::NotHolder:
    case Reason::NoOwner:
    case Reason::Draining:
      return true;
    case Reason::ConnectionLost:
      // Nothing was sent: the server or the lease holder has failed, and its keys are about to
      // move.
      return true;
    case Reason::Overloaded:
    case Reason::Cold:
      // Another server may have a free slot; a key has only one owner.
      return !service_->keyed && method_->idempotent &&
             table_->candidates(request_.service).size() > 1;
    default:
      return false;
  }
}

bool RequestRouter::CallerRequestHandler::shouldRetry(const AttemptResult& result,
                                                      TimePoint startedAt)
{
  if (request_.isBodyUsed || result.verdict.reason == Reason::Cancelled) {
    return false;
  }
  requests::RetryQuery query;
  query.idempotent = method_->idempotent;
  query.last = result.verdict;
  // Reroutes do not count as attempts: a failover would otherwise use up all attempts of the
  // method.
  query.attemptsMade = attempts_ - reroutes_;
  query.deadline = request_.deadline;
  query.delay = router_.backoff_.delay(query.attemptsMade, result.retryAfter, random_);
  query.expectedDuration =
    std::min<base::Duration>(SteadyClock().now() - startedAt, base::milliseconds(1));
  const auto decision = router_.budgets_.decide(
    request_.service, request_.method, method_->retryBudgetRatio, method_->maxAttempts, query);
  return decision.retry && pause(decision.notBefore - SteadyClock().now());
}

bool RequestRouter::CallerRequestHandler::pause(base::Duration duration) const
{
  const TimePoint until = SteadyClock().now() + duration;
  if (until >= request_.deadline || request_.isSenderDisconnected()) {
    return false;
  }
  if (duration > base::Duration::zero()) {
    std::this_thread::sleep_for(duration);
  }
  return true;
}

void RequestRouter::CallerRequestHandler::replayAnswer(const requests::StoredAnswer& stored)
{
  status_ = stored.status;
  discardBody(*request_.source, response_);
  response_.setHeader(kOutcomeHeader, std::string(outcomeName(Outcome::Ran)));
  response_.setHeader(kRequestIdHeader, request_.id.value());
  response_.setHeader(kReplayedHeader, stored.bodyKept ? "whole" : "without-body");
  response_.send(stored.status, stored.body, stored.contentType);
}

void RequestRouter::CallerRequestHandler::refuse(const AttemptResult& result)
{
  AttemptResult refusal = result;
  // The request ran, but its answer was lost before it reached the caller.
  if (refusal.verdict.reason == Reason::None) {
    refusal.verdict.reason = Reason::Internal;
  }
  const base::Duration retryAfter = result.retryAfter.value_or(base::Duration(kDefaultRetryAfter));
  status_ = httpStatus(refusal.verdict.reason);
  std::string message =
    "The request was refused: " + std::string(reasonName(refusal.verdict.reason)) + ".";
  if (refusal.verdict.outcome == Outcome::Unknown) {
    message = "It is not known whether the request ran: " +
              std::string(reasonName(refusal.verdict.reason)) + ".";
  }
  discardBody(*request_.source, response_);
  sendRefusal(response_, request_.id, refusal.verdict, message, retryAfter);
  notifyObserver(refusal);
}

void RequestRouter::CallerRequestHandler::notifyObserver(const AttemptResult& result)
{
  if (result.verdict.outcome == Outcome::Ran && method_ != nullptr && !result.replayedAnswer) {
    router_.budgets_.recordSuccess(request_.service, request_.method, method_->retryBudgetRatio);
  }
  if (!router_.context_.observer) {
    return;
  }
  RequestRecord record;
  record.service = request_.service;
  record.method = request_.method;
  record.outcome = result.verdict.outcome;
  record.reason = result.verdict.reason;
  record.status = status_;
  record.latency = SteadyClock().now() - startedAt_;
  record.attempts = attempts_;
  record.answerTruncated = answer_.isCommitted() && status_ == 0;
  router_.context_.observer(record);
}

} // namespace sycamore::router

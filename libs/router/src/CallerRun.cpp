#include "CallerRun.h"

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

// A key without an owner that answers is looked up again this often until the deadline.
constexpr base::milliseconds kRerouteInterval{ 10 };
constexpr base::milliseconds kDefaultRetryAfter{ 1000 };
constexpr std::size_t kStoredAnswerBytes = 16 * 1024;

// Whether a refusal of a resend proves that no earlier send of the request ran. Only the ledger of
// the server's holder knows that, and these reasons arise before it is asked.
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
      // Idempotent requests have no ledger.
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

RequestRouter::CallerRun::CallerRun(RequestRouter& router,
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

void RequestRouter::CallerRun::run()
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
  if (result.again) {
    answerAgain(*result.again);
  } else if (result.verdict.outcome == Outcome::Ran && answer_.isCommitted()) {
    status_ = answer_.complete() ? answer_.status() : 0;
  } else if (!answer_.isCommitted()) {
    refuse(result);
    return;
  }
  observe(result);
}

std::optional<RouteTarget> RequestRouter::CallerRun::findTarget()
{
  table_ = router_.context_.routing.current();
  if (service_->keyed || !method_->idempotent) {
    // A non-idempotent request of a service without keys goes by its id, so that its resend meets
    // the same ledger.
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

AttemptResult RequestRouter::CallerRun::attemptUntilSettled()
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
    const std::uint64_t send = router_.nextSend_++;
    const base::ServerId server = target->server->id;
    router_.pickers_.noteSent(request_.service, server, send);
    AttemptResult result = router_.attempt(request_, *target, *method_, answer_);
    router_.pickers_.noteFinished(
      request_.service, server, send, result.verdict.outcome == Outcome::Ran);
    ++attempts_;
    lastServer_ = server;
    if (result.verdict.reason == Reason::Overloaded || result.verdict.reason == Reason::Cold) {
      router_.pickers_.noteOverloaded(
        request_.service, server, result.retryAfter.value_or(base::Duration(kRerouteInterval)));
    }
    outcome_ = requests::combineOutcomes(outcome_, result.verdict.outcome);
    if (result.again || answer_.isCommitted()) {
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

bool RequestRouter::CallerRun::shouldReroute(const AttemptResult& result) const
{
  // A streamed body is gone once it was read.
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
      // Nothing was sent: the server or the holder is gone, and its keys are about to move.
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

bool RequestRouter::CallerRun::shouldRetry(const AttemptResult& result, TimePoint startedAt)
{
  if (request_.isBodyUsed || result.verdict.reason == Reason::Cancelled) {
    return false;
  }
  requests::RetryQuery query;
  query.idempotent = method_->idempotent;
  query.last = result.verdict;
  // Meeting a VM or a server that doesn't own the key costs no attempt of the method: a failover
  // would use them all up.
  query.attemptsMade = attempts_ - reroutes_;
  query.deadline = request_.deadline;
  query.delay = router_.backoff_.delay(query.attemptsMade, result.retryAfter, random_);
  query.expectedDuration =
    std::min<base::Duration>(SteadyClock().now() - startedAt, base::milliseconds(1));
  const auto decision = router_.budgets_.decide(
    request_.service, request_.method, method_->retryBudgetRatio, method_->maxAttempts, query);
  return decision.retry && pause(decision.notBefore - SteadyClock().now());
}

bool RequestRouter::CallerRun::pause(base::Duration duration) const
{
  const TimePoint until = SteadyClock().now() + duration;
  if (until >= request_.deadline || request_.isSenderGone()) {
    return false;
  }
  if (duration > base::Duration::zero()) {
    std::this_thread::sleep_for(duration);
  }
  return true;
}

void RequestRouter::CallerRun::answerAgain(const requests::StoredAnswer& stored)
{
  status_ = stored.status;
  discardBody(*request_.source, response_);
  response_.setHeader(kOutcomeHeader, std::string(outcomeName(Outcome::Ran)));
  response_.setHeader(kRequestIdHeader, request_.id.value());
  response_.setHeader(kReplayedHeader, stored.bodyKept ? "whole" : "without-body");
  response_.send(stored.status, stored.body, stored.contentType);
}

void RequestRouter::CallerRun::refuse(const AttemptResult& result)
{
  AttemptResult refusal = result;
  // An attempt that ran but was not passed on has lost its answer.
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
  observe(refusal);
}

void RequestRouter::CallerRun::observe(const AttemptResult& result)
{
  if (result.verdict.outcome == Outcome::Ran && method_ != nullptr && !result.again) {
    router_.budgets_.noteSuccess(request_.service, request_.method, method_->retryBudgetRatio);
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

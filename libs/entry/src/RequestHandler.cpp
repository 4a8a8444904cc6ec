#include <entry/RequestHandler.h>

#include <entry/AnswerCheck.h>
#include <entry/HandlerScope.h>
#include <entry/RequestDigest.h>
#include <entry/SteadyTime.h>

#include <dispatch/KeyCoordinator.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

// Time allowed to open a connection to a server.
constexpr base::Duration kConnectTimeout = base::milliseconds(250);
// Delay before a request is sent again to the owner of its key that hadn't received its grant yet.
constexpr base::Duration kGrantRetryDelay = base::milliseconds(40);
// Delay before a request is sent to the same server again.
constexpr base::Duration kResendDelay = base::milliseconds(5);
// Time for which a request waits for the answer to a question for permits in any case, and the
// delay between two looks. Answers arrive within a few milliseconds.
constexpr base::Duration kPermitTimeout = base::milliseconds(60);
constexpr base::Duration kPermitPollDelay = base::milliseconds(4);
// Longest delay between two looks while the next question is due later, since a permit may also
// come by another request's question.
constexpr base::Duration kMaxPermitPollDelay = base::milliseconds(20);
// Retry delays for callers: while servers have no room or can't be reached, and while this VM has
// no configuration.
constexpr base::Duration kServerFullRetryDelay = base::milliseconds(80);
constexpr base::Duration kNotReadyRetryDelay = base::milliseconds(300);
// Number of failed connections for one request after which no further server is tried.
constexpr unsigned kMaxFailedConnections = 2;
// Retry delay for callers of a VM that stops: other VMs take their requests.
constexpr base::Duration kStoppingRetryDelay = base::milliseconds(50);
// Timeout for callers that don't send one.
constexpr base::Duration kDefaultTimeout = std::chrono::seconds(30);

} // namespace

RequestHandler::RequestHandler(Dispatcher& dispatcher,
                               Request request,
                               base::TimePoint beganAt,
                               Dispatcher::Deliver deliver)
  : dispatcher_(dispatcher)
  , request_(std::move(request))
  , metadata_(wire::readRequestMetadata(request_.fields))
  , deliver_(std::move(deliver))
  , beganAt_(beganAt)
  , answerDeadline_(beganAt + kDefaultTimeout)
  , configuration_(dispatcher.view_->configuration)
  , deadlineTimer_(dispatcher.context_)
  , resendTimer_(dispatcher.context_)
{
}

void RequestHandler::start()
{
  if (!dispatcher_.view_->isComplete()) {
    refuse("this entry VM has no configuration yet", kNotReadyRetryDelay);
    return;
  }
  route_ = dispatcher_.routes_->find(request_.fields.valueOf("Host"), request_.target);
  if (route_ == nullptr) {
    ++dispatcher_.counts_.refusedNoRoute;
    fail(404, "no route matches the request's host and path");
    return;
  }
  const base::TimePoint now = clockNow();
  answerDeadline_ =
    beganAt_ + std::min(route_->timeout, metadata_.timeout.value_or(kDefaultTimeout));
  service_ = route_->targets.front().service;
  std::shared_ptr<const dispatch::Workspace> workspace;
  if (!isAllowed(dispatcher_.workspaceGate_.authenticate(*route_, request_, workspace, now))) {
    return;
  }
  if (workspace) {
    workspaceAdmission_.emplace(dispatcher_.workspaceGate_, std::move(workspace));
  }
  service_ = dispatcher_.routes_->nextTarget(*route_);
  digest_ = digestOf(request_);
  if (dispatcher_.suspects_.shouldRefuse(digest_, now)) {
    fail(503,
         "the request is refused because connections to several servers broke while they ran it");
    return;
  }
  dispatcher_.retryBudgetOf(service_).recordSuccess(now);
  ++demand().offered;
  if (metadata_.key && dispatcher_.isKeyed(service_)) {
    dispatcher_.countKey(service_, *metadata_.key);
  }
  deadlineTimer_.expires_at(toSteadyClock(answerDeadline_));
  deadlineTimer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error) {
      self->onTimeout("no answer in time");
    }
  });
  send();
}

void RequestHandler::cancel()
{
  if (!deliver_) {
    return;
  }
  ++dispatcher_.counts_.callerLeft;
  deliver_ = nullptr;
  permitWait_.reset();
  deadlineTimer_.cancel();
  resendTimer_.cancel();
  if (connection_) {
    connection_->abandon();
    pool_->load().onRequestEnded();
    endExchange(false);
  }
}

bool RequestHandler::isAllowed(const AccessDecision& decision)
{
  if (decision.kind == AccessDecision::Kind::Send) {
    return true;
  }
  if (decision.kind == AccessDecision::Kind::Wait) {
    sendAfter(decision.retryAfter.value_or(kPermitPollDelay));
  } else if (mayHaveRun_) {
    fail(502, "a server may have run the request, and sending it again is not allowed");
  } else {
    deliver(makeAnswer(decision.status, metadata_.requestId, decision.reason, decision.retryAfter),
            decision.reason);
  }
  return false;
}

void RequestHandler::send()
{
  const base::TimePoint now = clockNow();
  if (workspaceAdmission_ && !isAllowed(workspaceAdmission_->decide(now))) {
    return;
  }
  const bool isKeyed = dispatcher_.isKeyed(service_);
  const Dispatcher::Choice choice = isKeyed && metadata_.key ? dispatcher_.chooseOwner(*this, now)
                                                             : dispatcher_.chooseAny(*this, now);
  permitWait_.reset();
  if (choice.awaitsPermit && tryAwaitPermit(choice, now)) {
    return;
  }
  if (!choice.pool) {
    decidingServer_ = choice.decidingServer;
    if (mayHaveRun_) {
      ++dispatcher_.counts_.failedUnknown;
      fail(502, "a server may have run the request, and sending it again did not succeed");
      return;
    }
    ++*choice.counter;
    if (choice.counter == &dispatcher_.counts_.refusedNoRoom) {
      refuseForRoom(choice.reason, choice.retryAfter);
    } else {
      refuse(choice.reason, choice.retryAfter);
    }
    return;
  }
  if (!dispatcher_.canAwaitAnswer(*this, *choice.pool, now)) {
    decidingServer_ = choice.pool;
    onStopping();
    return;
  }
  sendTo(choice.pool, now);
}

bool RequestHandler::tryAwaitPermit(const Dispatcher::Choice& choice, base::TimePoint now)
{
  const bool isFirst = permitAnswerDueAt_ == base::TimePoint{};
  permitAnswerDueAt_ = isFirst ? now + kPermitTimeout : permitAnswerDueAt_;
  if (now >= std::min(std::max(permitAnswerDueAt_, choice.latestSendAt), answerDeadline_)) {
    return false;
  }
  const auto& pool = choice.decidingServer;
  permitWait_.emplace(std::shared_ptr<dispatch::RequestPermits>(pool, &pool->permits()),
                      priority());
  const base::Duration retryIn = pool->permits().retryIn(priority(), now);
  sendAfter(std::clamp(retryIn, kPermitPollDelay, kMaxPermitPollDelay));
  return true;
}

// The process would end before the server's answer is certain to arrive, or likely enough.
void RequestHandler::onStopping()
{
  ++dispatcher_.counts_.refusedStopping;
  if (mayHaveRun_) {
    fail(502, "a server may have run the request, and this entry VM stops");
  } else {
    refuse("this entry VM stops before the answer would arrive",
           dispatcher_.admission_.retryDelay(kStoppingRetryDelay, dispatcher_.random()));
  }
}

void RequestHandler::sendTo(const std::shared_ptr<ServerPool>& pool, base::TimePoint now)
{
  connection_ = pool->acquire(dispatcher_.connectionLimit(*pool), now);
  if (!connection_) {
    ++dispatcher_.counts_.refusedNoRoom;
    if (mayHaveRun_) {
      fail(502, "a server may have run the request, and sending it again did not succeed");
    } else {
      refuseForRoom("no connection to the server is free within its connection limit",
                    kServerFullRetryDelay);
    }
    return;
  }
  pool_ = pool;
  sentAt_ = now;
  pool->load().onRequestSent();
  pool->trialSchedule().onRequestSent(now);
  ++sends_;
  tried_.insert(pool->server().id);
  setQuotaUsed(true);
  connection_->exchange(
    writeServerRequest(request_,
                       pool->server().id,
                       workspaceAdmission_ ? &workspaceAdmission_->workspace().id : nullptr,
                       answerDeadline_ - now),
    metadata_.requestId,
    request_.method == "HEAD",
    std::min(answerDeadline_, now + kConnectTimeout),
    [self = shared_from_this()](ExchangeResult result) { self->onResult(std::move(result)); });
}

void RequestHandler::onResult(ExchangeResult result)
{
  const base::TimePoint now = clockNow();
  const bool isKeyed = dispatcher_.isKeyed(service_);
  dispatcher_.recordExchange(*pool_, metadata_.requestId, result, now);
  const auto answerMetadata = wire::readAnswerMetadata(result.answer.status, result.answer.fields);
  dispatch::ServerLoad& load = pool_->load();
  const bool answered = result.end == ExchangeEnd::Answered;
  // With status 421, another server may have answered. An answer without the request's id may be
  // another request's.
  if (answered && answerMetadata.requestId == metadata_.requestId &&
      !wire::isMisdirected(result.answer.status)) {
    dispatcher_.notices_.onAnswer(*pool_, answerMetadata, sentAt_);
  }
  const std::string incarnation = dispatch::incarnationOf(pool_->server().id, pool_->server().born);
  if (answered && !answerMetadata.notRun) {
    const base::Duration work = load.onRequestExecuted(now - sentAt_, answerMetadata.load);
    dispatcher_.recordServiceWork(service_, work, now);
  } else {
    load.onRequestEnded();
  }
  // A refused request may be sent to this server again. It doesn't use the same connection, where a
  // second copy of the refusal would be taken for the answer to the repeat.
  if (!result.reused && result.end != ExchangeEnd::NotSent) {
    pool_->connectionBackoff().onOpened();
  }
  endExchange(result.reusable && !(answered && answerMetadata.notRun && isKeyed));
  if (answerMetadata.load && answered) {
    load.onLoadReport(*answerMetadata.load, now);
  }
  switch (result.end) {
    case ExchangeEnd::Answered:
      load.onAnswer(now);
      if (answerMetadata.notRun) {
        onNotRun(result.answer);
      } else {
        onAnswered(std::move(result));
      }
      return;
    case ExchangeEnd::NotSent:
      --sends_;
      if (isResetBeforeSend(result)) {
        pool_->connectionBackoff().onReset(now);
      } else if (!result.reused) {
        load.onFailure(now);
      }
      onNotSent(result.reused);
      return;
    case ExchangeEnd::Broken:
      load.onFailure(now);
      mayHaveRun_ = true;
      dispatcher_.suspects_.onConnectionBroken(digest_, incarnation, now);
      if (dispatcher_.connectionBreakListener_) {
        dispatcher_.connectionBreakListener_(digest_, incarnation);
      }
      onOutcomeUnknown("the connection to the server broke");
      return;
    case ExchangeEnd::Malformed:
      mayHaveRun_ = true;
      onOutcomeUnknown("the server's answer can't be read");
      return;
    case ExchangeEnd::TooLarge:
      load.onFailure(now);
      mayHaveRun_ = true;
      onOutcomeUnknown("the server sent more than an answer may have");
      return;
  }
}

void RequestHandler::onAnswered(ExchangeResult result)
{
  ServerAnswer& answer = result.answer;
  mayHaveRun_ = true;
  dispatcher_.suspects_.onRequestAnswered(digest_);
  switch (checkAnswer(answer, metadata_.requestId)) {
    case AnswerVerdict::Unverified:
      onOutcomeUnknown(
        "the server's answer is unsigned, content-encoded or lacks the request's id");
      return;
    case AnswerVerdict::UnconfirmedRefusal:
      ++dispatcher_.counts_.failedUnknown;
      fail(502,
           "the server's status says that the request has not run, but the server did not confirm "
           "it");
      return;
    case AnswerVerdict::Usable:
      break;
  }
  ++dispatcher_.counts_.passedOn;
  answeredByServer_ = true;
  CallerAnswer callerAnswer = toCallerAnswer(std::move(answer));
  callerAnswer.memory = std::move(result.memory);
  deliver(std::move(callerAnswer), "the server's answer");
}

// The server refused the request. Without a key, another server may have room. With a key, the
// owner may not have received its grant yet, or may have handed the key over.
void RequestHandler::onNotRun(const ServerAnswer& answer)
{
  const base::TimePoint now = clockNow();
  setQuotaUsed(mayHaveRun_);
  const unsigned status = answer.status;
  const auto load = wire::readAnswerMetadata(status, answer.fields).load;
  // A server that refuses while it has free slots does so for another reason and may accept the
  // next request.
  const bool isFull = !load || load->running >= load->slots;
  if ((status == 503 || status == 429) && isFull) {
    pool_->load().onServerFull(now);
  }
  const bool isKeyed = dispatcher_.isKeyed(service_);
  const bool isMisdirected = wire::isMisdirected(status);
  const bool isPaused = pool_->pause().isActive(now);
  const bool retryUseful = isKeyed ? isMisdirected || (!isFull && !isPaused) : true;
  if (retryUseful && mayResend(now) && tryWithdrawRetry(now)) {
    if (isKeyed) {
      sendAfter(isMisdirected ? kGrantRetryDelay : kResendDelay);
    } else {
      send();
    }
    return;
  }
  ++dispatcher_.counts_.refusedByServer;
  if (mayHaveRun_) {
    fail(502, "a server may have run the request, and sending it again did not succeed");
    return;
  }
  const base::Duration excess =
    std::max(kServerFullRetryDelay, pool_->load().expectedLatency(now) - targetLeft(now));
  const base::Duration retryDelay = dispatcher_.admission_.retryDelay(excess, dispatcher_.random());
  // Without a key, another server may take the request before the pause ends.
  refuseForRoom("the server refused",
                isKeyed ? std::max(retryDelay, pool_->pause().timeLeft(now)) : retryDelay);
}

// `wasReused`: the connection had been idle and may have ended without notice; the server itself
// may be well.
void RequestHandler::onNotSent(bool wasReused)
{
  ++failedConnections_;
  setQuotaUsed(mayHaveRun_);
  const base::TimePoint now = clockNow();
  const bool isKeyed = dispatcher_.isKeyed(service_);
  if (isKeyed && wasReused && failedConnections_ <= kMaxFailedConnections &&
      now < answerDeadline_) {
    sendAfter(kResendDelay);
    return;
  }
  if (!isKeyed && failedConnections_ <= kMaxFailedConnections && now < answerDeadline_) {
    send();
    return;
  }
  ++dispatcher_.counts_.refusedUnreachable;
  refuseUnlessRun("the server can't be reached",
                  dispatcher_.admission_.retryDelay(kServerFullRetryDelay, dispatcher_.random()));
}

void RequestHandler::onOutcomeUnknown(const char* reason)
{
  const base::TimePoint now = clockNow();
  const bool repeatable = route_->repeatability == dispatch::Repeatability::Idempotent &&
                          !dispatcher_.suspects_.shouldRefuse(digest_, now);
  if (repeatable && mayResend(now) && tryWithdrawRetry(now)) {
    if (dispatcher_.isKeyed(service_)) {
      sendAfter(kResendDelay);
    } else {
      send();
    }
    return;
  }
  ++dispatcher_.counts_.failedUnknown;
  fail(502, reason);
}

bool RequestHandler::tryWithdrawRetry(base::TimePoint now)
{
  if (!dispatcher_.retryBudgetOf(service_).tryWithdraw(now)) {
    return false;
  }
  ++dispatcher_.counts_.retries;
  return true;
}

void RequestHandler::sendAfter(base::Duration delay)
{
  resendTimer_.expires_after(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
  resendTimer_.async_wait([self = shared_from_this()](const error_code& error) {
    const HandlerScope scope("request_resend");
    if (!error && self->deliver_) {
      self->send();
    }
  });
}

void RequestHandler::onTimeout(std::string_view reason)
{
  if (!deliver_) {
    return;
  }
  resendTimer_.cancel();
  ++dispatcher_.counts_.failedTimeout;
  if (connection_) {
    // If the server has answered nothing since the request was sent, it may have failed. Otherwise
    // it is slow, or this connection has gone silent.
    if (pool_->load().lastAnswerAt() < sentAt_) {
      pool_->load().onFailure(clockNow());
    }
    idleClosed_ += pool_->closeUnconfirmedSince(sentAt_);
    // Until the connection is established, the server can't have received anything.
    mayHaveRun_ = mayHaveRun_ || connection_->sendStarted();
    connection_->abandon();
    pool_->load().onRequestEnded();
    endExchange(false);
  }
  if (mayHaveRun_) {
    fail(504, reason);
  } else {
    refuse("no server accepted the request before its timeout", kServerFullRetryDelay);
  }
}

} // namespace sycamore::entry

#include <entry/RequestRun.h>

#include <entry/SteadyTime.h>

#include <base/KeyHash.h>
#include <dispatch/KeyCoordinator.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

// Time to open a connection to a server.
constexpr base::Duration kConnectTime = base::milliseconds(250);
// Pause before a request goes to the owner of its key again, which has not got its grant yet.
constexpr base::Duration kGrantPause = base::milliseconds(40);
// Pause before a request goes to the same server again.
constexpr base::Duration kResendPause = base::milliseconds(5);
// Return time after a server has refused.
constexpr base::Duration kServerFullReturn = base::milliseconds(80);
constexpr base::Duration kNotReadyReturn = base::milliseconds(300);
// Sends to servers whose connection can't be opened, before a request is refused.
constexpr unsigned kMaxFailedConnects = 2;
// Callers that don't say how long they wait.
constexpr base::Duration kAssumedPatience = std::chrono::seconds(30);

constexpr unsigned kMisdirected = 421;

// One in so many served requests is logged.
constexpr std::uint64_t kServedSample = 256;

std::uint64_t digestOf(const Request& request)
{
  std::string identity(view(request.method_string()));
  identity.append(" ").append(view(request[http::field::host]));
  identity.append(view(request.target())).append("\n").append(request.body());
  return base::hashBytes(identity);
}

// Statuses that promise to the caller that the request hasn't run.
bool promisesNotRun(unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

RequestRun::RequestRun(Dispatcher& dispatcher,
                       Request request,
                       base::TimePoint began,
                       Dispatcher::Deliver deliver)
  : dispatcher_(dispatcher)
  , request_(std::move(request))
  , facts_(wire::readCallerFacts(request_))
  , deliver_(std::move(deliver))
  , began_(began)
  , endBy_(began + kAssumedPatience)
  , configuration_(dispatcher.view_->configuration)
  , endTimer_(dispatcher.context_)
  , pauseTimer_(dispatcher.context_)
{
}

void RequestRun::start()
{
  if (!dispatcher_.view_->isComplete()) {
    refuse("this entry VM has no configuration yet", kNotReadyReturn);
    return;
  }
  route_ = dispatcher_.routes_->find(view(request_[http::field::host]), view(request_.target()));
  if (route_ == nullptr) {
    ++dispatcher_.counts_.refusedNoRoute;
    end(404, "no route");
    return;
  }
  const base::TimePoint now = clockNow();
  endBy_ = began_ + std::min(route_->timeout, facts_.patience.value_or(kAssumedPatience));
  service_ = dispatcher_.routes_->nextTarget(*route_);
  digest_ = digestOf(request_);
  if (dispatcher_.suspects_.shouldRefuse(digest_, now)) {
    end(503, "servers break down under this request");
    return;
  }
  dispatcher_.budgetOf(service_).recordSuccess(now);
  if (facts_.key) {
    const auto bucket = static_cast<std::uint16_t>(*facts_.key / dispatch::kKeysPerBucket);
    ++dispatcher_.report_.keys[service_][bucket];
  }
  endTimer_.expires_at(toSteadyClock(endBy_));
  endTimer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error) {
      self->giveUp();
    }
  });
  send();
}

void RequestRun::cancel()
{
  if (!deliver_) {
    return;
  }
  ++dispatcher_.counts_.callerLeft;
  deliver_ = nullptr;
  endTimer_.cancel();
  pauseTimer_.cancel();
  if (connection_) {
    connection_->abandon();
    pool_->load().onRequestEnded();
    endExchange(false);
  }
}

base::Duration RequestRun::targetLeft(base::TimePoint now) const
{
  return began_ + route_->targetLatency - now;
}

base::Duration RequestRun::timeLeft(base::TimePoint now) const
{
  return endBy_ - now;
}

void RequestRun::send()
{
  const base::TimePoint now = clockNow();
  const bool keyed = dispatcher_.isKeyed(service_);
  const Dispatcher::Choice choice =
    keyed && facts_.key ? dispatcher_.chooseOwner(*this, now) : dispatcher_.chooseAny(*this, now);
  if (!choice.pool) {
    decidedBy_ = choice.decidedBy;
    if (mayHaveRun_) {
      ++dispatcher_.counts_.failedUnknown;
      end(502, "the request may have run");
      return;
    }
    ++*choice.counter;
    refuse(choice.reason, choice.returnAfter);
    return;
  }
  exchangeWith(choice.pool, now);
}

void RequestRun::exchangeWith(const std::shared_ptr<ServerPool>& pool, base::TimePoint now)
{
  connection_ = pool->acquire(dispatcher_.connectionLimit(*pool), now);
  if (!connection_) {
    ++dispatcher_.counts_.refusedNoRoom;
    if (mayHaveRun_) {
      end(502, "the request may have run");
    } else {
      refuse("no connection to a server is free", kServerFullReturn);
    }
    return;
  }
  pool_ = pool;
  sentAt_ = now;
  pool->load().onRequestSent();
  pool->trial().onRequestSent(now);
  ++sends_;
  tried_.insert(pool->server().id);
  connection_->exchange(
    writeServerRequest(request_, pool->server().id, endBy_ - now),
    facts_.requestId,
    request_.method() == http::verb::head,
    std::min(endBy_, now + kConnectTime),
    [self = shared_from_this()](ExchangeResult result) { self->onResult(std::move(result)); });
}

void RequestRun::onResult(ExchangeResult result)
{
  const base::TimePoint now = clockNow();
  const auto facts = wire::readAnswerFacts(result.answer.result_int(), result.answer);
  dispatch::ServerLoad& load = pool_->load();
  const std::string life = dispatch::incarnationOf(pool_->server().id, pool_->server().born);
  const bool answered = result.end == ExchangeEnd::Answered;
  if (answered && !facts.notRun) {
    load.onRequestExecuted(now - sentAt_, facts.load);
  } else {
    load.onRequestEnded();
  }
  endExchange(result.reusable);
  if (facts.load && answered) {
    load.onLoadReport(*facts.load, now);
  }
  switch (result.end) {
    case ExchangeEnd::Answered:
      load.onAnswer(now);
      if (facts.notRun) {
        onNotRun(result.answer);
      } else {
        onAnswered(std::move(result.answer));
      }
      return;
    case ExchangeEnd::NotSent:
      load.onFailure(now);
      --sends_;
      onNotSent();
      return;
    case ExchangeEnd::Broken:
      load.onFailure(now);
      mayHaveRun_ = true;
      dispatcher_.suspects_.onConnectionBroken(digest_, life, now);
      if (dispatcher_.connectionBreakListener_) {
        dispatcher_.connectionBreakListener_(digest_, life);
      }
      onUnknown("the connection to the server broke");
      return;
    case ExchangeEnd::Malformed:
      mayHaveRun_ = true;
      onUnknown("the server's answer can't be read");
      return;
  }
}

void RequestRun::onAnswered(ServerAnswer answer)
{
  mayHaveRun_ = true;
  dispatcher_.suspects_.onRequestAnswered(digest_);
  const auto facts = wire::readAnswerFacts(answer.result_int(), answer);
  const unsigned status = answer.result_int();
  const bool success = status >= 200 && status < 300;
  const bool encoded = answer.find(http::field::content_encoding) != answer.end();
  if ((success && (!facts.vouched || facts.requestId != facts_.requestId || encoded)) ||
      (!facts.vouched && promisesNotRun(status))) {
    onUnknown("the server's answer isn't to be trusted");
    return;
  }
  if (promisesNotRun(status)) {
    // The server doesn't say that it hasn't run the request, but this status would.
    ++dispatcher_.counts_.failedUnknown;
    end(502, "the server failed");
    return;
  }
  ++dispatcher_.counts_.passedOn;
  answered_ = true;
  deliver(passOn(std::move(answer)), "the server's answer");
}

// The server refused. Without a key another server may have room; with one, the owner may only lack
// its grant, or have passed the key on.
void RequestRun::onNotRun(const ServerAnswer& answer)
{
  const base::TimePoint now = clockNow();
  const unsigned status = answer.result_int();
  const auto load = wire::readAnswerFacts(status, answer).load;
  // A server that refuses while slots are free has another reason, and may take the next one.
  const bool full = !load || load->running >= load->slots;
  if ((status == 503 || status == 429) && full) {
    pool_->load().onServerFull(now);
  }
  const bool keyed = dispatcher_.isKeyed(service_);
  const bool worthIt = keyed ? status == kMisdirected || !full : true;
  if (worthIt && mayResend(now) && withdrawRetry(now)) {
    if (keyed) {
      sendAfter(status == kMisdirected ? kGrantPause : kResendPause);
    } else {
      send();
    }
    return;
  }
  ++dispatcher_.counts_.refusedByServer;
  if (mayHaveRun_) {
    end(502, "the request may have run");
    return;
  }
  const base::Duration excess =
    std::max(kServerFullReturn, pool_->load().expectedLatency(now) - targetLeft(now));
  refuse("the server refused", dispatcher_.admission_.retryDelay(excess, dispatcher_.random()));
}

void RequestRun::onNotSent()
{
  ++failedConnects_;
  const base::TimePoint now = clockNow();
  const bool keyed = dispatcher_.isKeyed(service_);
  if (!keyed && failedConnects_ <= kMaxFailedConnects && now < endBy_) {
    send();
    return;
  }
  ++dispatcher_.counts_.refusedUnreachable;
  if (mayHaveRun_) {
    end(502, "the request may have run");
  } else {
    refuse("the server can't be reached",
           dispatcher_.admission_.retryDelay(kServerFullReturn, dispatcher_.random()));
  }
}

void RequestRun::onUnknown(const char* why)
{
  const base::TimePoint now = clockNow();
  const bool repeatable = route_->repeatability == dispatch::Repeatability::Idempotent &&
                          !dispatcher_.suspects_.shouldRefuse(digest_, now);
  if (repeatable && mayResend(now) && withdrawRetry(now)) {
    if (dispatcher_.isKeyed(service_)) {
      sendAfter(kResendPause);
    } else {
      send();
    }
    return;
  }
  ++dispatcher_.counts_.failedUnknown;
  end(502, why);
}

void RequestRun::endExchange(bool reusable)
{
  pool_->giveBack(connection_, reusable);
  connection_.reset();
}

bool RequestRun::mayResend(base::TimePoint now) const
{
  return sends_ < route_->attempts && now < endBy_;
}

bool RequestRun::withdrawRetry(base::TimePoint now)
{
  if (!dispatcher_.budgetOf(service_).tryWithdraw(now)) {
    return false;
  }
  ++dispatcher_.counts_.retries;
  return true;
}

void RequestRun::sendAfter(base::Duration pause)
{
  pauseTimer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(pause));
  pauseTimer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error && self->deliver_) {
      self->send();
    }
  });
}

void RequestRun::giveUp()
{
  if (!deliver_) {
    return;
  }
  pauseTimer_.cancel();
  ++dispatcher_.counts_.failedTimeout;
  if (connection_) {
    // A server that hasn't answered anything meanwhile may be lost, or the connection may have gone
    // silent, and others with it. One that has answered is only slow.
    if (pool_->load().lastAnswerAt() < sentAt_) {
      pool_->load().onFailure(clockNow());
      pool_->dropIdle();
    }
    connection_->abandon();
    pool_->load().onRequestEnded();
    endExchange(false);
    mayHaveRun_ = true;
  }
  if (mayHaveRun_) {
    end(504, "no answer in time");
  } else {
    refuse("no server was free in time", kServerFullReturn);
  }
}

void RequestRun::end(unsigned status, std::string_view reason)
{
  deliver(ownAnswer(status, facts_.requestId, reason), reason);
}

void RequestRun::refuse(std::string_view reason, base::Duration returnAfter)
{
  deliver(ownAnswer(503, facts_.requestId, reason, returnAfter), reason);
}

void RequestRun::deliver(CallerAnswer answer, std::string_view reason)
{
  if (!deliver_) {
    return;
  }
  logEnd(answer.status, reason);
  countEnd(answer.status);
  endTimer_.cancel();
  pauseTimer_.cancel();
  const Dispatcher::Deliver deliver = std::move(deliver_);
  deliver_ = nullptr;
  deliver(std::move(answer));
}

void RequestRun::countEnd(unsigned status) const
{
  if (route_ == nullptr) {
    return;
  }
  RequestOutcome outcome = RequestOutcome::Answered;
  if (!answered_) {
    outcome = promisesNotRun(status) ? RequestOutcome::Refused : RequestOutcome::Failed;
  }
  dispatcher_.metrics_.record(service_, route_->name, outcome, clockNow() - began_);
}

// One line for each request that wasn't served, within the log's bound, and for some of the others.
void RequestRun::logEnd(unsigned status, std::string_view reason) const
{
  const bool served = status < 500 && status != 404;
  if (served && digest_ % kServedSample != 0) {
    return;
  }
  const base::TimePoint now = clockNow();
  const auto milliseconds = [](base::Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  };
  nlohmann::json fields{ { "id", facts_.requestId },
                         { "status", status },
                         { "reason", reason },
                         { "elapsed_ms", milliseconds(now - began_) },
                         { "sends", sends_ } };
  if (route_ != nullptr) {
    fields["route"] = route_->name;
    fields["service"] = service_.value();
    fields["time_left_ms"] = milliseconds(timeLeft(now));
    fields["configuration"] = configuration_->version;
  }
  if (facts_.key) {
    fields["key"] = *facts_.key;
    fields["ownership_epoch"] =
      dispatcher_.view_->ownership ? dispatcher_.view_->ownership->epoch : 0;
  }
  if (const auto& pool = decidedBy_ ? decidedBy_ : pool_) {
    fields["server"] = pool->server().id.value();
    fields["expected_ms"] = milliseconds(pool->load().expectedLatency(now));
    fields["occupancy"] = pool->load().occupancy(now);
    fields["may_have_run"] = mayHaveRun_;
  }
  dispatcher_.log_.write(
    served ? "request_served" : (status == 503 ? "request_refused" : "request_failed"), fields);
}

} // namespace sycamore::entry

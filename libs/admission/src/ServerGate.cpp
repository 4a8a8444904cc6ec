#include <admission/ServerGate.h>

#include <algorithm>

namespace sycamore::admission {

namespace {

using requests::Outcome;
using requests::Reason;

// Weight of one answer in the moving average of the service time.
constexpr double kServiceWeight = 1.0 / 16;

GateAction refusal(WorkId work, Reason reason, base::Duration retryAfter = {})
{
  return { GateAction::Kind::Refuse, work, reason, retryAfter };
}

} // namespace

ServerGate::ServerGate(ServerGateSettings settings, base::TimePoint now)
  : settings_(settings)
  , slots_(settings.slots)
  , queue_(settings.queue)
  , limiter_(settings.coldStart, settings.slots, now)
  , backoff_(settings.backoff ? std::optional(ServerBackoff(*settings.backoff)) : std::nullopt)
  , serviceNanos_(static_cast<double>(settings.coldStart.assumedLatency.count()))
{
}

GateActions ServerGate::enqueue(QueuedWork work, base::TimePoint now)
{
  GateActions actions;
  if (const Reason reason = closedReason(); reason != Reason::None) {
    actions.push_back(refusal(work.id, reason));
  } else if (work.deadline <= now) {
    actions.push_back(refusal(work.id, Reason::Expired));
  } else {
    advance(actions, now);
    dispatchOrQueue(std::move(work), actions, now);
  }
  return actions;
}

GateActions ServerGate::onFinished(const FinishedAttempt& ended, base::TimePoint now)
{
  GateActions actions;
  const auto attempt = attempts_.find(ended.work);
  if (attempt != attempts_.end()) {
    recordOutcome(attempt->second, ended.result, now);
    endAttempt(ended.work);
  }
  advance(actions, now);
  return actions;
}

GateActions ServerGate::onAbandoned(WorkId work, base::TimePoint now)
{
  GateActions actions;
  if (const auto attempt = attempts_.find(work); attempt != attempts_.end()) {
    attempt->second.abandoned = true;
    possibleRestartAt_ = now;
    if (backoff_) {
      backoff_->onInconclusive();
    }
    limiter_.onUnanswered(now - attempt->second.sentAt, now);
    slots_.abandon(work, attempt->second.deadline + settings_.deadlineMargin);
    endAttemptsBeforeRestart();
  }
  advance(actions, now);
  return actions;
}

GateActions ServerGate::onCancelConfirmed(WorkId work, base::TimePoint now)
{
  GateActions actions;
  if (backoff_ && attempts_.contains(work)) {
    backoff_->onInconclusive();
  }
  endAttempt(work);
  advance(actions, now);
  return actions;
}

GateActions ServerGate::withdraw(WorkId work, base::TimePoint now)
{
  GateActions actions;
  queue_.remove(work);
  advance(actions, now);
  return actions;
}

GateActions ServerGate::onServerReport(const ServerReport& report, base::TimePoint now)
{
  GateActions actions;
  if (incarnation_ && *incarnation_ != report.incarnation) {
    incarnationGrantSentAt_ = report.grantSentAt;
    endAttemptsBeforeRestart();
  }
  incarnation_ = report.incarnation;
  if (possibleRestartAt_ && report.grantSentAt >= *possibleRestartAt_) {
    possibleRestartAt_.reset();
  }
  limiter_.onReport(report.incarnation, report.state, now);
  isDraining_ = report.state == ReportedState::Draining;
  if (isDraining_) {
    refuseQueued(Reason::Draining, actions);
  }
  advance(actions, now);
  return actions;
}

GateActions ServerGate::setGranted(bool granted, base::TimePoint now)
{
  GateActions actions;
  hasGrant_ = granted;
  advance(actions, now);
  return actions;
}

GateActions ServerGate::onLeaseLost(base::TimePoint now)
{
  GateActions actions;
  isLeaseLost_ = true;
  refuseQueued(Reason::NotHolder, actions);
  advance(actions, now);
  return actions;
}

GateActions ServerGate::wake(base::TimePoint now)
{
  GateActions actions;
  advance(actions, now);
  return actions;
}

std::optional<base::TimePoint> ServerGate::nextWakeUp(base::TimePoint now) const
{
  std::optional<base::TimePoint> next = queue_.nextDeadline();
  const auto wakeUpBy = [&next](base::TimePoint time) {
    next = next ? std::min(*next, time) : time;
  };
  if (const auto release = slots_.nextReleaseAt()) {
    wakeUpBy(*release);
  }
  const QueuedWork* const front = queue_.front(now);
  if (front != nullptr && hasGrant_ && hasSlotFor(*front)) {
    if (const auto dispatch = nextDispatchAt(now)) {
      wakeUpBy(*dispatch);
    }
  }
  return next;
}

void ServerGate::setSlots(unsigned slots)
{
  slots_.setSlots(slots);
  limiter_.setSlots(slots);
}

// Frees the slots of ended attempts, refuses expired requests, and dispatches queued requests while
// the limits allow it.
void ServerGate::advance(GateActions& actions, base::TimePoint now)
{
  for (const WorkId work : slots_.releaseExpired(now)) {
    endAttempt(work);
  }
  for (const QueuedWork& work : queue_.takeExpired(now)) {
    actions.push_back(refusal(work.id, Reason::Expired));
  }
  for (const QueuedWork* front = queue_.front(now); front != nullptr && mayDispatch(*front, now);
       front = queue_.front(now)) {
    dispatch(*queue_.pop(now), actions, now);
  }
}

bool ServerGate::hasSlotFor(const QueuedWork& work) const
{
  if (exclusiveInFlight_ > 0 || (work.exclusive && slots_.heldCount() > 0)) {
    return false;
  }
  return slots_.heldCount() < concurrency();
}

// Returns the time at which the rate limit and the back-off allow the next dispatch; nothing while
// the back-off waits for the result of its probe.
std::optional<base::TimePoint> ServerGate::nextDispatchAt(base::TimePoint now) const
{
  const base::TimePoint paced = std::max(now, limiter_.nextDispatchAt(now));
  if (!backoff_ || backoff_->allowsRequest(now)) {
    return paced;
  }
  const auto allowedAt = backoff_->nextAllowedAt();
  return allowedAt ? std::optional(std::max(paced, *allowedAt)) : std::nullopt;
}

bool ServerGate::mayDispatch(const QueuedWork& work, base::TimePoint now) const
{
  return hasGrant_ && hasSlotFor(work) && nextDispatchAt(now) == now;
}

unsigned ServerGate::concurrency() const
{
  const unsigned limit = std::min(slots_.slots(), limiter_.concurrency());
  return possibleRestartAt_ ? std::min(limit, std::max(1U, settings_.coldStart.coldLimit)) : limit;
}

void ServerGate::dispatch(const QueuedWork& work, GateActions& actions, base::TimePoint now)
{
  if (!slots_.tryAcquire(work.id)) {
    actions.push_back(refusal(work.id, Reason::Internal));
    return;
  }
  attempts_[work.id] = { now, work.deadline, work.exclusive };
  exclusiveInFlight_ += work.exclusive ? 1 : 0;
  limiter_.onDispatch(now);
  if (backoff_) {
    backoff_->onSent();
  }
  actions.push_back({ GateAction::Kind::Dispatch, work.id, Reason::None, {} });
}

// Dispatches at once if the queue is empty and a slot is free. The wait estimate is not applied in
// that case: a server that looks too slow would otherwise never receive the request that corrects
// the estimate.
void ServerGate::dispatchOrQueue(QueuedWork work, GateActions& actions, base::TimePoint now)
{
  if (queue_.empty() && mayDispatch(work, now)) {
    dispatch(work, actions, now);
    return;
  }
  const WorkId id = work.id;
  const ServiceEstimate estimated = estimate(now);
  const PushResult pushed = queue_.push(std::move(work), estimated, now);
  for (const QueuedWork& evicted : pushed.evicted) {
    actions.push_back(refusal(evicted.id, noRoomReason(), estimated.dispatchInterval));
  }
  if (!pushed.queued) {
    actions.push_back(refusal(id, noRoomReason(), pushed.retryAfter));
  }
}

void ServerGate::refuseQueued(Reason reason, GateActions& actions)
{
  for (const QueuedWork& work : queue_.takeAll()) {
    actions.push_back(refusal(work.id, reason));
  }
}

void ServerGate::recordOutcome(const Attempt& attempt,
                               const requests::Classification& result,
                               base::TimePoint now)
{
  if (result.outcome != Outcome::Ran) {
    recordFailure(result, now);
    return;
  }
  const base::Duration latency = now - attempt.sentAt;
  limiter_.onSuccess(latency, now);
  serviceNanos_ += (static_cast<double>(latency.count()) - serviceNanos_) * kServiceWeight;
  if (backoff_) {
    backoff_->onSuccess();
  }
}

void ServerGate::recordFailure(const requests::Classification& result, base::TimePoint now)
{
  const Reason reason = result.reason;
  if (result.outcome == Outcome::NotRun) {
    limiter_.onRefusal(reason, now);
  }
  const bool mayHaveRestarted = reason == Reason::NotOwner || reason == Reason::ConnectionLost;
  if (mayHaveRestarted) {
    possibleRestartAt_ = now;
  }
  if (backoff_ && (mayHaveRestarted || reason == Reason::Overloaded || reason == Reason::Cold)) {
    backoff_->onFailure(std::nullopt, now);
  } else if (backoff_) {
    backoff_->onInconclusive();
  }
}

void ServerGate::endAttempt(WorkId work)
{
  slots_.release(work);
  const auto attempt = attempts_.find(work);
  if (attempt != attempts_.end()) {
    exclusiveInFlight_ -= attempt->second.exclusive ? 1 : 0;
    attempts_.erase(attempt);
  }
}

void ServerGate::endAttemptsBeforeRestart()
{
  std::vector<WorkId> ended;
  for (const auto& [work, attempt] : attempts_) {
    if (attempt.abandoned && attempt.sentAt < incarnationGrantSentAt_) {
      ended.push_back(work);
    }
  }
  for (const WorkId work : ended) {
    endAttempt(work);
  }
}

// The age of a running attempt raises the estimate above the mean, so that a slow server is noticed
// before it answers.
ServiceEstimate ServerGate::estimate(base::TimePoint now) const
{
  base::Duration service(static_cast<base::Duration::rep>(serviceNanos_));
  for (const auto& [work, attempt] : attempts_) {
    if (!attempt.abandoned) {
      service = std::max(service, now - attempt.sentAt);
    }
  }
  const unsigned parallel = std::max(1U, concurrency());
  return { service / parallel, service };
}

// Returns the reason for refusing a request that the queue has no room for.
Reason ServerGate::noRoomReason() const
{
  return limiter_.isCold() ? Reason::Cold : Reason::Overloaded;
}

Reason ServerGate::closedReason() const
{
  if (isLeaseLost_) {
    return Reason::NotHolder;
  }
  return isDraining_ ? Reason::Draining : Reason::None;
}

} // namespace sycamore::admission

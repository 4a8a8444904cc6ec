#include <admission/ServerGate.h>

#include <algorithm>

namespace sycamore::admission {

namespace {

using requests::Outcome;
using requests::Reason;

// Weight of one answer in the mean service time.
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
  , backoff_(settings.backoff ? std::optional(BackoffGate(*settings.backoff)) : std::nullopt)
  , serviceNanos_(static_cast<double>(settings.coldStart.assumedLatency.count()))
{
}

GateActions ServerGate::enqueue(QueuedWork work, base::TimePoint now)
{
  GateActions actions;
  if (const Reason reason = closed(); reason != Reason::None) {
    actions.push_back(refusal(work.id, reason));
  } else if (work.deadline <= now) {
    actions.push_back(refusal(work.id, Reason::Expired));
  } else {
    proceed(actions, now);
    offer(std::move(work), actions, now);
  }
  return actions;
}

GateActions ServerGate::onFinished(const FinishedAttempt& ended, base::TimePoint now)
{
  GateActions actions;
  const auto attempt = attempts_.find(ended.work);
  if (attempt != attempts_.end()) {
    learn(attempt->second, ended.result, now);
    end(ended.work);
  }
  proceed(actions, now);
  return actions;
}

GateActions ServerGate::onAbandoned(WorkId work, base::TimePoint now)
{
  GateActions actions;
  if (const auto attempt = attempts_.find(work); attempt != attempts_.end()) {
    attempt->second.abandoned = true;
    doubtedSince_ = now;
    if (backoff_) {
      backoff_->noteNothing();
    }
    limiter_.noteUnanswered(now - attempt->second.sentAt, now);
    slots_.abandon(work, attempt->second.deadline + settings_.endMargin);
    endBeforeRestart();
  }
  proceed(actions, now);
  return actions;
}

GateActions ServerGate::onCancelConfirmed(WorkId work, base::TimePoint now)
{
  GateActions actions;
  if (backoff_ && attempts_.contains(work)) {
    backoff_->noteNothing();
  }
  end(work);
  proceed(actions, now);
  return actions;
}

GateActions ServerGate::withdraw(WorkId work, base::TimePoint now)
{
  GateActions actions;
  queue_.remove(work);
  proceed(actions, now);
  return actions;
}

GateActions ServerGate::onServerReport(const ServerReport& report, base::TimePoint now)
{
  GateActions actions;
  if (incarnation_ && *incarnation_ != report.incarnation) {
    restartedAt_ = report.grantSentAt;
    endBeforeRestart();
  }
  incarnation_ = report.incarnation;
  if (doubtedSince_ && report.grantSentAt >= *doubtedSince_) {
    doubtedSince_.reset();
  }
  limiter_.noteReport(report.incarnation, report.state, now);
  draining_ = report.state == ReportedState::Draining;
  if (draining_) {
    refuseQueued(Reason::Draining, actions);
  }
  proceed(actions, now);
  return actions;
}

GateActions ServerGate::setGranted(bool granted, base::TimePoint now)
{
  GateActions actions;
  granted_ = granted;
  proceed(actions, now);
  return actions;
}

GateActions ServerGate::onLeaseLost(base::TimePoint now)
{
  GateActions actions;
  lost_ = true;
  refuseQueued(Reason::NotHolder, actions);
  proceed(actions, now);
  return actions;
}

GateActions ServerGate::wake(base::TimePoint now)
{
  GateActions actions;
  proceed(actions, now);
  return actions;
}

std::optional<base::TimePoint> ServerGate::nextWakeUp(base::TimePoint now) const
{
  std::optional<base::TimePoint> next = queue_.nextDeadline();
  const auto consider = [&next](base::TimePoint time) {
    next = next ? std::min(*next, time) : time;
  };
  if (const auto release = slots_.nextRelease()) {
    consider(*release);
  }
  const QueuedWork* const front = queue_.front(now);
  if (front != nullptr && granted_ && slotFor(*front)) {
    if (const auto dispatch = nextDispatch(now)) {
      consider(*dispatch);
    }
  }
  return next;
}

void ServerGate::setSlots(unsigned slots)
{
  slots_.setSlots(slots);
  limiter_.setSlots(slots);
}

// Frees what has ended, refuses what has expired, dispatches what is possible.
void ServerGate::proceed(GateActions& actions, base::TimePoint now)
{
  for (const WorkId work : slots_.releaseEnded(now)) {
    end(work);
  }
  for (const QueuedWork& work : queue_.takeExpired(now)) {
    actions.push_back(refusal(work.id, Reason::Expired));
  }
  for (const QueuedWork* front = queue_.front(now); front != nullptr && mayDispatch(*front, now);
       front = queue_.front(now)) {
    dispatch(*queue_.pop(now), actions, now);
  }
}

bool ServerGate::slotFor(const QueuedWork& work) const
{
  if (exclusiveInFlight_ > 0 || (work.exclusive && slots_.held() > 0)) {
    return false;
  }
  return slots_.held() < concurrency();
}

// When rate and back-off allow the next dispatch; nothing while the back-off waits for its probe.
std::optional<base::TimePoint> ServerGate::nextDispatch(base::TimePoint now) const
{
  const base::TimePoint paced = std::max(now, limiter_.nextDispatch(now));
  if (!backoff_ || backoff_->open(now)) {
    return paced;
  }
  const auto opening = backoff_->nextOpening();
  return opening ? std::optional(std::max(paced, *opening)) : std::nullopt;
}

bool ServerGate::mayDispatch(const QueuedWork& work, base::TimePoint now) const
{
  return granted_ && slotFor(work) && nextDispatch(now) == now;
}

unsigned ServerGate::concurrency() const
{
  const unsigned limit = std::min(slots_.slots(), limiter_.concurrency());
  return doubtedSince_ ? std::min(limit, std::max(1U, settings_.coldStart.coldLimit)) : limit;
}

void ServerGate::dispatch(const QueuedWork& work, GateActions& actions, base::TimePoint now)
{
  if (!slots_.tryAcquire(work.id)) {
    actions.push_back(refusal(work.id, Reason::Internal));
    return;
  }
  attempts_[work.id] = { now, work.deadline, work.exclusive };
  exclusiveInFlight_ += work.exclusive ? 1 : 0;
  limiter_.noteDispatch(now);
  if (backoff_) {
    backoff_->onSent();
  }
  actions.push_back({ GateAction::Kind::Dispatch, work.id, Reason::None, {} });
}

// Dispatches at once where nothing waits and a slot is free. The estimate doesn't apply then, or a
// server that looks too slow would never get the request that shows that it is not.
void ServerGate::offer(QueuedWork work, GateActions& actions, base::TimePoint now)
{
  if (queue_.empty() && mayDispatch(work, now)) {
    dispatch(work, actions, now);
    return;
  }
  const WorkId id = work.id;
  const DrainEstimate drain = estimate(now);
  const PushResult pushed = queue_.push(std::move(work), drain, now);
  for (const QueuedWork& displaced : pushed.displaced) {
    actions.push_back(refusal(displaced.id, pressure(), drain.perItem));
  }
  if (!pushed.queued) {
    actions.push_back(refusal(id, pressure(), pushed.retryAfter));
  }
}

void ServerGate::refuseQueued(Reason reason, GateActions& actions)
{
  for (const QueuedWork& work : queue_.takeAll()) {
    actions.push_back(refusal(work.id, reason));
  }
}

void ServerGate::learn(const Attempt& attempt,
                       const requests::Classification& result,
                       base::TimePoint now)
{
  if (result.outcome != Outcome::Ran) {
    learnFailure(result, now);
    return;
  }
  const base::Duration latency = now - attempt.sentAt;
  limiter_.noteSuccess(latency, now);
  serviceNanos_ += (static_cast<double>(latency.count()) - serviceNanos_) * kServiceWeight;
  if (backoff_) {
    backoff_->noteSuccess();
  }
}

void ServerGate::learnFailure(const requests::Classification& result, base::TimePoint now)
{
  const Reason reason = result.reason;
  if (result.outcome == Outcome::NotRun) {
    limiter_.noteRefusal(reason, now);
  }
  const bool lost = reason == Reason::NotOwner || reason == Reason::ConnectionLost;
  if (lost) {
    doubtedSince_ = now;
  }
  if (backoff_ && (lost || reason == Reason::Overloaded || reason == Reason::Cold)) {
    backoff_->noteFailure(std::nullopt, now);
  } else if (backoff_) {
    backoff_->noteNothing();
  }
}

void ServerGate::end(WorkId work)
{
  slots_.release(work);
  const auto attempt = attempts_.find(work);
  if (attempt != attempts_.end()) {
    exclusiveInFlight_ -= attempt->second.exclusive ? 1 : 0;
    attempts_.erase(attempt);
  }
}

void ServerGate::endBeforeRestart()
{
  std::vector<WorkId> ended;
  for (const auto& [work, attempt] : attempts_) {
    if (attempt.abandoned && attempt.sentAt < restartedAt_) {
      ended.push_back(work);
    }
  }
  for (const WorkId work : ended) {
    end(work);
  }
}

// A running attempt that takes longer than the mean shows a slow server before its answer does.
DrainEstimate ServerGate::estimate(base::TimePoint now) const
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

// Why there is no room.
Reason ServerGate::pressure() const
{
  return limiter_.isCold() ? Reason::Cold : Reason::Overloaded;
}

Reason ServerGate::closed() const
{
  if (lost_) {
    return Reason::NotHolder;
  }
  return draining_ ? Reason::Draining : Reason::None;
}

} // namespace sycamore::admission

#include <router/ServerDispatcher.h>

#include <algorithm>

namespace sycamore::router {

using admission::GateAction;
using admission::WorkId;
using base::ShardId;
using base::SteadyClock;
using base::TimePoint;
using requests::Reason;

namespace {

// Interval at which a waiting request checks whether its sender has disconnected.
constexpr base::milliseconds kSenderCheckInterval{ 50 };
// A request that was abandoned or lost its connection up to this long before a crash is detected
// counts as evidence for the crash: the control thread detects it only with its next grant.
constexpr base::milliseconds kSuspectRetention{ 2000 };

TimePoint now()
{
  return SteadyClock().now();
}

} // namespace

ServerDispatcher::ServerDispatcher(base::ServerId server,
                                   std::string address,
                                   base::DomainId domain,
                                   admission::ServerGateSettings gate,
                                   requests::DeduplicationSettings deduplication,
                                   TimePoint start,
                                   requests::WallTime wallNow)
  : server_(std::move(server))
  , address_(std::move(address))
  , domain_(std::move(domain))
  , startedAt_(start)
  , grant_(std::make_shared<const GrantView>())
  , gate_(gate, start)
  , deduplication_(deduplication, start, wallNow)
{
}

Admission ServerDispatcher::admit(const AdmissionRequest& request)
{
  std::unique_lock lock(mutex_);
  if (request.shard && withheld_.contains(*request.shard)) {
    return { false, {}, {}, Reason::NotOwner, {} };
  }
  const WorkId work(nextWork_++);
  Waiter waiter;
  waiters_[work] = &waiter;
  admission::QueuedWork queued;
  queued.id = work;
  queued.flow = request.flow;
  queued.deadline = request.deadline;
  queued.bytes = request.bytes;
  queued.exclusive = request.exclusive;
  queued.maxWait = request.maxWait;
  perform(gate_.enqueue(std::move(queued), now()));
  waitForAction(waiter, work, request, lock);
  waiters_.erase(work);
  const GateAction action = *waiter.action;
  if (action.kind == GateAction::Kind::Refuse) {
    return { false, work, {}, action.reason, action.retryAfter };
  }
  running_[work].shard = request.shard;
  if (request.shard && withheld_.contains(*request.shard)) {
    // A release of the shard began while the request waited.
    running_.erase(work);
    perform(gate_.onFinished({ work, { requests::Outcome::NotRun, Reason::NotOwner } }, now()));
    return { false, work, {}, Reason::NotOwner, {} };
  }
  return { true, work, grant_.load()->term, Reason::None, {} };
}

void ServerDispatcher::waitForAction(Waiter& waiter,
                                     WorkId work,
                                     const AdmissionRequest& request,
                                     std::unique_lock<std::mutex>& lock)
{
  while (!waiter.action) {
    const TimePoint start = now();
    TimePoint wakeAt = std::min(request.deadline, start + kSenderCheckInterval);
    if (const auto next = gate_.nextWakeUp(start)) {
      wakeAt = std::min(wakeAt, *next);
    }
    const auto wait = std::max<base::Duration>(wakeAt - start, std::chrono::microseconds(100));
    waiter.wakeUp.wait_for(lock, wait);
    if (waiter.action) {
      return;
    }
    perform(gate_.wake(now()));
    if (!waiter.action && (now() >= request.deadline || request.isSenderDisconnected())) {
      const bool expired = now() >= request.deadline;
      perform(gate_.withdraw(work, now()));
      if (!waiter.action) {
        GateAction refusal;
        refusal.work = work;
        refusal.reason = expired ? Reason::Expired : Reason::Cancelled;
        waiter.action = refusal;
      }
    }
  }
}

void ServerDispatcher::perform(const admission::GateActions& actions)
{
  for (const GateAction& action : actions) {
    const auto found = waiters_.find(action.work);
    if (found == waiters_.end()) {
      continue;
    }
    found->second->action = action;
    found->second->wakeUp.notify_one();
  }
}

bool ServerDispatcher::mayDispatch(const std::optional<ShardId>& shard) const
{
  const auto grant = grant_.load();
  return now() < grant->validUntil && (!shard || grant->shards.contains(*shard));
}

void ServerDispatcher::onStarted(WorkId work, const requests::WorkIdentity& identity)
{
  std::lock_guard lock(mutex_);
  running_[work].identity = identity;
}

void ServerDispatcher::onFinished(WorkId work, const requests::Classification& result)
{
  std::lock_guard lock(mutex_);
  const auto found = running_.find(work);
  if (found != running_.end()) {
    if (result.reason == Reason::ConnectionLost && found->second.identity) {
      removeExpiredSuspects(now());
      suspects_.push_back({ *found->second.identity, now() });
    }
    running_.erase(found);
  }
  perform(gate_.onFinished({ work, result }, now()));
}

void ServerDispatcher::onAbandoned(WorkId work)
{
  std::lock_guard lock(mutex_);
  const auto found = running_.find(work);
  if (found != running_.end()) {
    if (found->second.identity) {
      removeExpiredSuspects(now());
      suspects_.push_back({ *found->second.identity, now() });
    }
    running_.erase(found);
  }
  perform(gate_.onAbandoned(work, now()));
}

void ServerDispatcher::onCancelConfirmed(WorkId work)
{
  std::lock_guard lock(mutex_);
  perform(gate_.onCancelConfirmed(work, now()));
}

TimePoint ServerDispatcher::responsibleSince(const std::optional<ShardId>& shard) const
{
  std::lock_guard lock(mutex_);
  if (shard) {
    const auto found = shardArrivals_.find(*shard);
    if (found != shardArrivals_.end()) {
      return found->second;
    }
  }
  return startedAt_;
}

requests::DeduplicationDecision ServerDispatcher::beginDeduplicated(
  const std::string& id,
  unsigned attempt,
  std::uint64_t fingerprint,
  const std::optional<ShardId>& shard)
{
  requests::DeduplicationQuery request;
  request.id = id;
  request.attempt = attempt;
  request.fingerprint = fingerprint;
  request.responsibleSince = responsibleSince(shard);
  std::lock_guard lock(deduplicationMutex_);
  return deduplication_.begin(request, now());
}

void ServerDispatcher::markRan(const std::string& id, requests::StoredAnswer answer)
{
  std::lock_guard lock(deduplicationMutex_);
  deduplication_.markRan(id, std::move(answer), now());
}

void ServerDispatcher::markUnknown(const std::string& id)
{
  std::lock_guard lock(deduplicationMutex_);
  deduplication_.markUnknown(id, now());
}

void ServerDispatcher::markNotRun(const std::string& id)
{
  std::lock_guard lock(deduplicationMutex_);
  deduplication_.markNotRun(id, now());
}

void ServerDispatcher::setGrant(std::shared_ptr<const GrantView> grant)
{
  const TimePoint time = now();
  std::lock_guard lock(mutex_);
  const auto previous = grant_.load();
  if (!(previous->shards == grant->shards)) {
    ownership::ShardSet arrived = grant->shards;
    arrived.erase(grantedShards_);
    const bool isFirstGrant = previous->term == base::Term();
    for (const auto& range : arrived.ranges()) {
      for (std::uint32_t shard = range.first; !isFirstGrant && shard <= range.last; ++shard) {
        shardArrivals_[ShardId(shard)] = time;
      }
    }
    grantedShards_ = grant->shards;
    ownership::ShardSet stillWithheld = withheld_;
    ownership::ShardSet notGranted = withheld_;
    notGranted.erase(grant->shards);
    // A shard that is no longer granted has been released; it may arrive again later, and must then
    // not be withheld.
    stillWithheld.erase(notGranted);
    withheld_ = stillWithheld;
  }
  grant_.store(std::move(grant));
  perform(gate_.setGranted(grant_.load()->validUntil > time, time));
}

void ServerDispatcher::setWithheldShards(const ownership::ShardSet& shards)
{
  std::lock_guard lock(mutex_);
  withheld_ = shards;
}

bool ServerDispatcher::hasRequestsInFlight(const ownership::ShardSet& shards) const
{
  std::lock_guard lock(mutex_);
  return std::any_of(running_.begin(), running_.end(), [&](const auto& entry) {
    return entry.second.shard && shards.contains(*entry.second.shard);
  });
}

void ServerDispatcher::setSlots(unsigned slots)
{
  std::lock_guard lock(mutex_);
  gate_.setSlots(slots);
  perform(gate_.wake(now()));
}

void ServerDispatcher::onServerReport(const admission::ServerReport& report)
{
  std::lock_guard lock(mutex_);
  perform(gate_.onServerReport(report, now()));
}

void ServerDispatcher::onLeaseLost()
{
  std::lock_guard lock(mutex_);
  grant_.store(std::make_shared<const GrantView>());
  perform(gate_.onLeaseLost(now()));
}

std::vector<requests::WorkIdentity> ServerDispatcher::takeCrashSuspects()
{
  std::lock_guard lock(mutex_);
  removeExpiredSuspects(now());
  std::vector<requests::WorkIdentity> identities;
  for (CrashSuspect& suspect : suspects_) {
    identities.push_back(std::move(suspect.identity));
  }
  suspects_.clear();
  for (const auto& [work, running] : running_) {
    if (running.identity) {
      identities.push_back(*running.identity);
    }
  }
  return identities;
}

void ServerDispatcher::removeExpiredSuspects(TimePoint time)
{
  std::erase_if(suspects_, [&](const CrashSuspect& suspect) {
    return suspect.connectionLostAt + kSuspectRetention < time;
  });
}

std::size_t ServerDispatcher::inFlight() const
{
  std::lock_guard lock(mutex_);
  return gate_.inFlight();
}

std::size_t ServerDispatcher::queued() const
{
  std::lock_guard lock(mutex_);
  return gate_.queued();
}

bool ServerDispatcher::isCold() const
{
  std::lock_guard lock(mutex_);
  return gate_.isCold();
}

} // namespace sycamore::router

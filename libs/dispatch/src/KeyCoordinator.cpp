#include <dispatch/KeyCoordinator.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Interval after which a release that got no answer, or wasn't sent, is tried again, such as when
// the server had no room for another connection.
constexpr base::Duration kReleaseRetryInterval = base::milliseconds(200);
// Maximum number of ranges without a target that get a new owner in one tick: each is compared with
// all servers, and a coordinator that computes for longer misses its heartbeats.
constexpr std::size_t kMaxAssignmentsPerTick = 64;

} // namespace

KeyCoordinator::KeyCoordinator(CoordinatorSettings settings,
                               OwnershipRecord record,
                               base::TimePoint previousCoordinatorsStopAt,
                               base::TimePoint confirmedAt)
  : settings_(settings)
  , planner_(settings.placement)
  , record_(std::move(record))
  , confirmedRecord_(record_)
  , incarnations_(settings)
  , previousCoordinatorsStopAt_(std::max(previousCoordinatorsStopAt, confirmedAt))
  , confirmedAt_(confirmedAt)
{
  if (record_.mayLackOwners) {
    nextOwnersFrom_ = unansweredCallExpiresAt(previousCoordinatorsStopAt_);
  }
  if (!record_.services.empty()) {
    previousUnansweredGrantsExpireAt_ = unansweredCallExpiresAt(previousCoordinatorsStopAt_);
  }
  for (const auto& [service, ranges] : record_.services) {
    for (const KeyRange& range : ranges) {
      // Without an owner the range waits until all grants of previous coordinators have expired.
      const Phase phase = range.owner.value().empty() ? Phase::Releasing : Phase::Owned;
      ranges_[service].push_back({ range, phase, confirmedAt });
    }
  }
}

void KeyCoordinator::setServers(const std::map<base::ServerId, BackendServer>& servers,
                                base::TimePoint now)
{
  servers_ = servers;
  for (const auto& [id, server] : servers_) {
    incarnations_.onRegistered(server);
    firstSeen_.try_emplace(server.service, now);
  }
}

void KeyCoordinator::addFormerServers(const std::vector<BackendServer>& servers)
{
  for (const BackendServer& server : servers) {
    incarnations_.addFormer(server);
  }
}

void KeyCoordinator::setServices(const std::map<base::ServiceId, ServicePolicy>& services)
{
  services_ = services;
}

void KeyCoordinator::setDomainsOut(const std::set<base::DomainId>& domains)
{
  domainsOut_ = domains;
}

void KeyCoordinator::onCoordinatorConfirmed(base::TimePoint askedAt)
{
  confirmedAt_ = std::max(confirmedAt_, askedAt);
}

void KeyCoordinator::onPreviousCoordinatorStopped(const CoordinatorStop& stop)
{
  previousCoordinatorsStopAt_ =
    std::min(previousCoordinatorsStopAt_, stop.previousCoordinatorsStopAt);
  previousUnansweredGrantsExpireAt_ =
    std::min(previousUnansweredGrantsExpireAt_, stop.unansweredGrantsExpireAt);
}

CoordinatorStop KeyCoordinator::stopReport(base::TimePoint now) const
{
  return { std::max(previousCoordinatorsStopAt_, now),
           std::max(previousUnansweredGrantsExpireAt_,
                    incarnations_.unansweredGrantsExpireAt(unansweredCallExpiresAt(now))) };
}

CoordinatorActions KeyCoordinator::tick(base::TimePoint now)
{
  CoordinatorActions actions;
  if (!isConfirmed(now)) {
    return actions;
  }
  const bool mayAssign = now >= nextOwnersFrom_;
  hasUnwrittenChanges_ = hasUnwrittenChanges_ || (mayAssign && record_.mayLackOwners);
  for (const auto& [service, policy] : services_) {
    if (mayAssign && policy.keyed && !ranges_.contains(service)) {
      partitionService(service, now);
    }
  }
  planner_.advance(now);
  // A planned move may wait until the keys don't have to wait between two servers.
  const bool mayMove =
    now >= previousCoordinatorsStopAt_ && now >= previousUnansweredGrantsExpireAt_;
  for (auto& [service, ranges] : ranges_) {
    for (ManagedRange& managed : ranges) {
      reviewOwner(managed, now);
    }
    if (!writeInProgress_) {
      if (mayMove && planner_.isPlanDue(service, now)) {
        hasUnwrittenChanges_ |= planner_.plan(service, ranges, placementServers(service, now), now);
      }
      if (mayAssign) {
        assignUnowned(service, ranges, actions, now);
      }
    }
    for (ManagedRange& managed : ranges) {
      renew(service, managed, actions, now);
      release(service, managed, actions, now);
    }
  }
  actions.spreads = planner_.takeSpreads();
  probeLost(actions, now);
  if (hasUnwrittenChanges_ && !writeInProgress_) {
    refreshRecord();
    record_.previousCoordinatorsStopped = now >= previousCoordinatorsStopAt_;
    record_.mayLackOwners = !mayAssign;
    actions.mustWriteRecord = true;
    writeInProgress_ = true;
    hasUnwrittenChanges_ = false;
  }
  return actions;
}

std::map<base::ServiceId, KeyRanges> KeyCoordinator::onRecordWritten(base::TimePoint now)
{
  writeInProgress_ = false;
  confirmedRecord_ = record_;
  std::map<base::ServiceId, KeyRanges> changes;
  for (auto& [service, ranges] : ranges_) {
    for (ManagedRange& managed : ranges) {
      if (managed.phase == Phase::AwaitingWrite) {
        managed.phase = Phase::Owned;
        managed.nextCallAt = now;
        changes[service].push_back(managed.range);
      }
    }
  }
  return changes;
}

bool KeyCoordinator::isConfirmed(base::TimePoint now) const
{
  return now < confirmedAt_ + settings_.confirmationTimeout;
}

bool KeyCoordinator::maySend(const GrantOrder& order, base::TimePoint now) const
{
  return now < order.sendBy && isConfirmed(now);
}

void KeyCoordinator::onGrantAnswered(const GrantOrder& order,
                                     GrantAnswer answer,
                                     base::TimePoint now)
{
  const std::string incarnation = incarnationOf(order.server.id, order.server.born);
  GrantLedger& grants = incarnations_.grantsTo(incarnation);
  const base::TimePoint expiresAt = now + grantDurationBound();
  if (answer == GrantAnswer::NotSent || answer == GrantAnswer::ConnectionEnded) {
    grants.onCallNotSent(order.from, order.to, order.fence);
  } else if (answer == GrantAnswer::OutcomeUnknown) {
    grants.onCallUnanswered(order.from, order.to, order.fence, expiresAt);
  } else {
    grants.onCallAnswered(order.from, order.to, order.fence, expiresAt);
  }
  if (answer == GrantAnswer::OutcomeUnknown || answer == GrantAnswer::NotSent) {
    incarnations_.onCallUnanswered(incarnation, now);
  } else {
    incarnations_.onCallAnswered(incarnation);
  }
  for (ManagedRange* managed : rangesOf(order.service, order.from, order.to, order.fence)) {
    if (managed->phase != Phase::Owned) {
      continue;
    }
    if (answer == GrantAnswer::Accepted) {
      managed->handover = {};
    } else if (answer == GrantAnswer::Superseded && now < nextOwnersFrom_) {
      // Another server may hold the range, by a record that the store has lost.
      managed->phase = Phase::Releasing;
      managed->nextCallAt = now;
    } else if (answer == GrantAnswer::Superseded) {
      regrant(*managed);
    } else {
      managed->nextCallAt = std::min(managed->nextCallAt, now + settings_.renewalInterval / 4);
    }
  }
}

// The server stays the owner and needs a fencing token above the one that it has seen.
void KeyCoordinator::regrant(ManagedRange& managed)
{
  if (writeInProgress_ || registered(managed.range) == nullptr) {
    return;
  }
  managed.range.fence = std::max(managed.range.fence + kOwnerStep, record_.fenceFloor);
  managed.phase = Phase::AwaitingWrite;
  hasUnwrittenChanges_ = true;
}

void KeyCoordinator::onReleaseAnswered(const ReleaseOrder& order,
                                       const ReleaseAnswer& answer,
                                       base::TimePoint now)
{
  const std::string incarnation = incarnationOf(order.server.id, order.server.born);
  const bool isAnswered =
    answer.kind == ReleaseAnswer::Kind::Released || answer.kind == ReleaseAnswer::Kind::OtherServer;
  if (isAnswered) {
    incarnations_.onCallAnswered(incarnation);
  } else {
    incarnations_.onCallUnanswered(incarnation, now);
  }
  for (ManagedRange* managed :
       rangesOf(order.service, order.from, order.to, order.fence - kReleaseStep)) {
    if (managed->phase != Phase::Releasing) {
      continue;
    }
    managed->nextCallAt = std::min(managed->nextCallAt, now + kReleaseRetryInterval);
    if (answer.kind == ReleaseAnswer::Kind::Released) {
      managed->handover = answer.handover;
      if (now < unansweredGrantsExpireAt(managed->range)) {
        managed->phase = Phase::Released;
      } else {
        free(*managed, KeysFreedBy::Release, now);
      }
    }
  }
}

void KeyCoordinator::onServerProcessEnded(const BackendServer& server)
{
  incarnations_.onEnded(incarnationOf(server.id, server.born));
}

std::size_t KeyCoordinator::managedRanges() const
{
  std::size_t count = 0;
  for (const auto& [service, ranges] : ranges_) {
    count += ranges.size();
  }
  return count;
}

std::size_t KeyCoordinator::unownedRanges() const
{
  std::size_t count = 0;
  for (const auto& [service, ranges] : ranges_) {
    count += static_cast<std::size_t>(std::count_if(
      ranges.begin(), ranges.end(), [](const auto& m) { return m.phase != Phase::Owned; }));
  }
  return count;
}

const BackendServer* KeyCoordinator::registered(const KeyRange& range) const
{
  const auto found = servers_.find(range.owner);
  return found != servers_.end() && found->second.born == range.born ? &found->second : nullptr;
}

bool KeyCoordinator::hasOwnerEnded(const KeyRange& range) const
{
  return incarnations_.hasEnded(incarnationOf(range.owner, range.born));
}

const BackendServer* KeyCoordinator::nextIncarnation(const KeyRange& range) const
{
  const auto found = servers_.find(range.owner);
  return found != servers_.end() && found->second.born > range.born ? &found->second : nullptr;
}

bool KeyCoordinator::isUsable(const BackendServer& server, base::TimePoint now) const
{
  const std::string incarnation = incarnationOf(server.id, server.born);
  return !incarnations_.hasEnded(incarnation) && !server.draining &&
         !domainsOut_.contains(server.domain) && !incarnations_.isLost(incarnation, now);
}

base::TimePoint KeyCoordinator::allGrantsExpireAt(const std::string& incarnation) const
{
  const base::TimePoint previousGrantsExpireAt =
    unansweredCallExpiresAt(previousCoordinatorsStopAt_);
  const GrantLedger* const grants = incarnations_.findGrants(incarnation);
  return grants == nullptr ? previousGrantsExpireAt
                           : std::max(previousGrantsExpireAt, grants->allExpireAt());
}

const GrantLedger* KeyCoordinator::grantsToOwner(const KeyRange& range) const
{
  return incarnations_.findGrants(incarnationOf(range.owner, range.born));
}

base::TimePoint KeyCoordinator::unansweredGrantsExpireAt(const KeyRange& range) const
{
  const GrantLedger* const grants = grantsToOwner(range);
  return grants == nullptr ? previousUnansweredGrantsExpireAt_
                           : std::max(previousUnansweredGrantsExpireAt_,
                                      grants->unansweredExpireAt(range.from, range.to));
}

base::Duration KeyCoordinator::grantDurationBound() const
{
  return std::chrono::duration_cast<base::Duration>(settings_.grantDuration *
                                                    settings_.clockDriftFactor);
}

base::TimePoint KeyCoordinator::unansweredCallExpiresAt(base::TimePoint begunAt) const
{
  return begunAt + settings_.callTimeout + grantDurationBound();
}

std::vector<PlacementServer> KeyCoordinator::placementServers(const base::ServiceId& service,
                                                              base::TimePoint now) const
{
  std::vector<const BackendServer*> usable;
  for (const auto& [id, server] : servers_) {
    if (server.service == service && isUsable(server, now)) {
      usable.push_back(&server);
    }
  }
  const auto policy = services_.find(service);
  const auto ranges = ranges_.find(service);
  static const ManagedRanges kNoRanges;
  return planner_.loads(service,
                        usable,
                        ranges == ranges_.end() ? kNoRanges : ranges->second,
                        policy == services_.end() ? 0 : policy->second.coldRate,
                        now);
}

// The initial partition waits until servers have had time to register, because a partition among
// only a few of them would have to be changed again.
void KeyCoordinator::partitionService(const base::ServiceId& service, base::TimePoint now)
{
  const auto seen = firstSeen_.find(service);
  if (seen == firstSeen_.end() || now < seen->second + settings_.placement.initialPartitionDelay ||
      writeInProgress_) {
    return;
  }
  const auto servers = placementServers(service, now);
  if (servers.empty()) {
    return;
  }
  for (KeyRange range :
       partitionKeys(servers, initialRangesPerServer(servers.size(), settings_.placement))) {
    range.fence = std::max(range.fence, record_.fenceFloor);
    ranges_[service].push_back({ range, Phase::AwaitingWrite, now });
  }
  hasUnwrittenChanges_ = true;
}

void KeyCoordinator::reviewOwner(ManagedRange& managed, base::TimePoint now)
{
  if (managed.phase == Phase::Unowned || managed.phase == Phase::AwaitingWrite) {
    return;
  }
  const std::string incarnation = incarnationOf(managed.range.owner, managed.range.born);
  const bool hasEnded = hasOwnerEnded(managed.range);
  const bool holdsNothing = hasEnded || now >= allGrantsExpireAt(incarnation);
  const KeysFreedBy freedBy = hasEnded ? KeysFreedBy::ProcessEnd : KeysFreedBy::Expiry;
  if (managed.phase == Phase::Releasing) {
    if (holdsNothing) {
      free(managed, freedBy, now);
    }
    return;
  }
  if (managed.phase == Phase::Released) {
    if (holdsNothing || now >= unansweredGrantsExpireAt(managed.range)) {
      free(managed, KeysFreedBy::Release, now);
    }
    return;
  }
  const BackendServer* server = registered(managed.range);
  const bool owns = server != nullptr && isUsable(*server, now) && !managed.target;
  if (owns) {
    return;
  }
  // A lost server won't answer a release, so its range is free only once its grants have expired.
  const bool mayAnswer =
    nextIncarnation(managed.range) != nullptr || !incarnations_.isLost(incarnation, now);
  if (holdsNothing) {
    free(managed, freedBy, now);
  } else if (mayAnswer && now >= previousCoordinatorsStopAt_) {
    managed.phase = Phase::Releasing;
    managed.nextCallAt = now;
  }
}

void KeyCoordinator::free(ManagedRange& managed, KeysFreedBy by, base::TimePoint now) const
{
  const GrantLedger* const grants = grantsToOwner(managed.range);
  managed.phase = Phase::Unowned;
  managed.freedBy = by;
  managed.freedAt = now;
  if (grants != nullptr) {
    managed.lastGrant = grants->isLastAnswered() ? LastGrant::Answered : LastGrant::Unanswered;
  }
}

void KeyCoordinator::renew(const base::ServiceId& service,
                           ManagedRange& managed,
                           CoordinatorActions& actions,
                           base::TimePoint now)
{
  const std::string incarnation = incarnationOf(managed.range.owner, managed.range.born);
  const BackendServer* const owner = incarnations_.find(incarnation);
  if (managed.phase != Phase::Owned || now < managed.nextCallAt || owner == nullptr ||
      incarnations_.hasEnded(incarnation) || nextIncarnation(managed.range) != nullptr ||
      incarnations_.isLost(incarnation, now)) {
    return;
  }
  managed.nextCallAt = now + settings_.renewalInterval;
  incarnations_.grantsTo(incarnation)
    .onCallBegun(managed.range.from, managed.range.to, managed.range.fence);
  actions.grants.push_back({ service,
                             managed.range.from,
                             managed.range.to,
                             managed.range.fence,
                             *owner,
                             managed.handover,
                             now + settings_.callTimeout });
}

void KeyCoordinator::release(const base::ServiceId& service,
                             ManagedRange& managed,
                             CoordinatorActions& actions,
                             base::TimePoint now)
{
  if (managed.phase != Phase::Releasing || now < managed.nextCallAt) {
    return;
  }
  const GrantLedger* const grants = grantsToOwner(managed.range);
  if (grants != nullptr && grants->hasOpenCall(managed.range.from, managed.range.to)) {
    return;
  }
  // The release goes where the grants went: a later life at another address may answer while the
  // owner still runs.
  const BackendServer* const owner =
    incarnations_.find(incarnationOf(managed.range.owner, managed.range.born));
  managed.nextCallAt = now + settings_.releaseTimeout + kReleaseRetryInterval;
  if (owner == nullptr) {
    return;
  }
  actions.releases.push_back(
    { service, managed.range.from, managed.range.to, managed.range.fence + kReleaseStep, *owner });
}

void KeyCoordinator::assignUnowned(const base::ServiceId& service,
                                   ManagedRanges& ranges,
                                   CoordinatorActions& actions,
                                   base::TimePoint now)
{
  std::vector<PlacementServer> servers;
  std::size_t assigned = 0;
  for (ManagedRange& managed : ranges) {
    if (managed.phase != Phase::Unowned) {
      continue;
    }
    if (!managed.target && ++assigned > kMaxAssignmentsPerTick) {
      return;
    }
    if (servers.empty()) {
      servers = placementServers(service, now);
    }
    const PlacementServer* const chosen = planner_.ownerFor(service, managed, servers);
    if (chosen == nullptr) {
      return;
    }
    const KeyRange previous = managed.range;
    managed.range.owner = chosen->id;
    managed.range.born = chosen->born;
    managed.range.fence = std::max(managed.range.fence + kOwnerStep, record_.fenceFloor);
    managed.target.reset();
    actions.ownerChanges.push_back(
      { service, previous, managed.range, managed.freedBy, managed.freedAt, managed.lastGrant });
    managed.phase = Phase::AwaitingWrite;
    hasUnwrittenChanges_ = true;
  }
}

// Probes lost servers by asking them to release a key. After its ranges have moved a lost server
// owns nothing, so the release has no effect, and an answer shows that the server is reachable
// again.
void KeyCoordinator::probeLost(CoordinatorActions& actions, base::TimePoint now)
{
  for (const BackendServer& server : incarnations_.takeDueProbes(servers_, now)) {
    actions.releases.push_back({ server.service, 0, 0, 0, server });
  }
}

std::vector<ManagedRange*> KeyCoordinator::rangesOf(const base::ServiceId& service,
                                                    KeyNumber from,
                                                    KeyNumber to,
                                                    std::uint64_t fence)
{
  const auto found = ranges_.find(service);
  return found == ranges_.end() ? std::vector<ManagedRange*>()
                                : rangesWithFence(found->second, from, to, fence);
}

void KeyCoordinator::refreshRecord()
{
  for (const auto& [service, ranges] : ranges_) {
    record_.services[service] = keyRanges(ranges);
  }
}

} // namespace sycamore::dispatch

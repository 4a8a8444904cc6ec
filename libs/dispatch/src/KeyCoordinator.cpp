#include <dispatch/KeyCoordinator.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// A release uses the next fencing token, so that the server refuses late renewals of the released
// grant. The next owner gets the token after that.
constexpr std::uint64_t kReleaseStep = 1;
constexpr std::uint64_t kOwnerStep = 2;
// Interval after which an unanswered release is sent again.
constexpr base::Duration kReleaseRetryInterval = base::milliseconds(1100);
// Interval after which a release that wasn't sent is tried again, such as when the server had no
// room for another connection.
constexpr base::Duration kUnsentReleaseRetryInterval = base::milliseconds(200);
// Interval between two probes of a lost server.
constexpr base::Duration kProbeInterval = base::milliseconds(1000);
// Number of consecutive unanswered calls from which on a server can be considered lost.
constexpr unsigned kMinUnansweredCalls = 2;
// Maximum number of ranges that get a new owner in one tick: each is compared with all servers, and
// a coordinator that computes for longer misses its heartbeats.
constexpr std::size_t kMaxAssignmentsPerTick = 64;
// Adjacent ranges are merged once there are this many times the ranges of the initial partition.
constexpr double kMergeFactor = 1.5;

} // namespace

std::string incarnationOf(const base::ServerId& id, std::int64_t born)
{
  return id.value() + "@" + std::to_string(born);
}

KeyCoordinator::KeyCoordinator(CoordinatorSettings settings,
                               OwnershipRecord record,
                               base::TimePoint previousCoordinatorsGrantUntil,
                               base::TimePoint now)
  : settings_(settings)
  , record_(std::move(record))
  , previousCoordinatorsStopAt_(std::max(previousCoordinatorsGrantUntil, now))
  , confirmedAt_(now)
{
  if (!record_.services.empty()) {
    previousUnansweredGrantsExpireAt_ = unansweredCallExpiresAt(previousCoordinatorsStopAt_);
  }
  for (const auto& [service, ranges] : record_.services) {
    for (const KeyRange& range : ranges) {
      ranges_[service].push_back({ range, Phase::Owned, now });
    }
  }
}

void KeyCoordinator::setServers(const std::map<base::ServerId, BackendServer>& servers,
                                base::TimePoint now)
{
  servers_ = servers;
  for (const auto& [id, server] : servers_) {
    registerIncarnation(server);
    firstSeen_.try_emplace(server.service, now);
  }
}

void KeyCoordinator::setServices(const std::map<base::ServiceId, ServicePolicy>& services)
{
  services_ = services;
}

void KeyCoordinator::setLimits(const std::vector<LimitedServer>& limited)
{
  limited_.clear();
  for (const LimitedServer& entry : limited) {
    limited_[entry.server.id] = entry;
  }
}

void KeyCoordinator::setDomainsOut(const std::set<base::DomainId>& domains)
{
  domainsOut_ = domains;
}

void KeyCoordinator::recordKeyCounts(const base::ServiceId& service,
                                     const KeyCounts& counts,
                                     base::TimePoint now)
{
  rates_[service].add(counts, now);
}

void KeyCoordinator::recordWork(const base::ServerId& server,
                                const WorkSample& sample,
                                base::TimePoint now)
{
  work_[server].add(sample, now);
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
  CoordinatorStop stop{ std::max(previousCoordinatorsStopAt_, now),
                        previousUnansweredGrantsExpireAt_ };
  for (const auto& [name, incarnation] : incarnations_) {
    const GrantLedger& grants = incarnation.grants;
    const base::TimePoint expireAt = grants.hasOpenCall(0, kLastKey)
                                       ? unansweredCallExpiresAt(now)
                                       : grants.unansweredExpireAt(0, kLastKey);
    stop.unansweredGrantsExpireAt = std::max(stop.unansweredGrantsExpireAt, expireAt);
  }
  return stop;
}

CoordinatorActions KeyCoordinator::tick(base::TimePoint now)
{
  CoordinatorActions actions;
  if (now >= confirmedAt_ + settings_.confirmationTimeout) {
    return actions;
  }
  for (const auto& [service, policy] : services_) {
    if (policy.keyed && !ranges_.contains(service)) {
      partitionService(service, now);
    }
  }
  // A planned move may wait until the keys don't have to wait between two servers.
  const bool planDue = now >= nextPlanAt_ && now >= previousCoordinatorsStopAt_ &&
                       now >= previousUnansweredGrantsExpireAt_;
  for (auto& [service, ranges] : ranges_) {
    for (ManagedRange& managed : ranges) {
      reviewOwner(managed, now);
    }
    if (!writeInProgress_) {
      if (planDue) {
        planMoves(service, ranges, now);
      }
      assignUnowned(service, ranges, actions, now);
    }
    for (ManagedRange& managed : ranges) {
      renew(service, managed, actions, now);
      release(service, managed, actions, now);
    }
  }
  if (planDue) {
    nextPlanAt_ = now + settings_.placement.planInterval;
  }
  probeLost(actions, now);
  if (hasUnwrittenChanges_ && !writeInProgress_) {
    refreshRecord();
    record_.previousCoordinatorsStopped = now >= previousCoordinatorsStopAt_;
    actions.mustWriteRecord = true;
    writeInProgress_ = true;
    hasUnwrittenChanges_ = false;
  }
  return actions;
}

std::map<base::ServiceId, KeyRanges> KeyCoordinator::onRecordWritten(base::TimePoint now)
{
  writeInProgress_ = false;
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

bool KeyCoordinator::maySend(const GrantOrder& order, base::TimePoint now) const
{
  return now < order.sendBy && now < confirmedAt_ + settings_.confirmationTimeout;
}

void KeyCoordinator::onGrantAnswered(const GrantOrder& order,
                                     GrantAnswer answer,
                                     base::TimePoint now)
{
  const std::string incarnation = incarnationOf(order.server.id, order.server.born);
  GrantLedger& grants = incarnations_[incarnation].grants;
  const base::TimePoint expiresAt = now + grantDurationBound();
  if (answer == GrantAnswer::NotSent) {
    grants.onCallNotSent(order.from, order.to, order.fence);
  } else if (answer == GrantAnswer::OutcomeUnknown) {
    grants.onCallUnanswered(order.from, order.to, order.fence, expiresAt);
  } else {
    grants.onCallAnswered(order.from, order.to, order.fence, expiresAt);
  }
  if (answer == GrantAnswer::OutcomeUnknown || answer == GrantAnswer::NotSent) {
    onCallUnanswered(incarnation, now);
  } else {
    onCallAnswered(incarnation);
  }
  for (ManagedRange* managed : rangesOf(order.service, order.from, order.to, order.fence)) {
    if (managed->phase != Phase::Owned) {
      continue;
    }
    if (answer == GrantAnswer::Accepted) {
      managed->handover.clear();
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
  managed.range.fence += kOwnerStep;
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
    onCallAnswered(incarnation);
  } else {
    onCallUnanswered(incarnation, now);
  }
  for (ManagedRange* managed :
       rangesOf(order.service, order.from, order.to, order.fence - kReleaseStep)) {
    if (managed->phase != Phase::Releasing) {
      continue;
    }
    if (answer.kind == ReleaseAnswer::Kind::NotSent) {
      managed->nextCallAt = std::min(managed->nextCallAt, now + kUnsentReleaseRetryInterval);
    } else if (answer.kind == ReleaseAnswer::Kind::Released) {
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
  incarnations_[incarnationOf(server.id, server.born)].hasEnded = true;
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
  const auto incarnation = incarnations_.find(incarnationOf(range.owner, range.born));
  return incarnation != incarnations_.end() && incarnation->second.hasEnded;
}

const BackendServer* KeyCoordinator::nextIncarnation(const KeyRange& range) const
{
  const auto found = servers_.find(range.owner);
  return found != servers_.end() && found->second.born > range.born ? &found->second : nullptr;
}

bool KeyCoordinator::isLost(const std::string& incarnation, base::TimePoint now) const
{
  const auto found = incarnations_.find(incarnation);
  return found != incarnations_.end() && found->second.unansweredCalls >= kMinUnansweredCalls &&
         now >= found->second.unansweredSince + settings_.lostTimeout;
}

bool KeyCoordinator::isUsable(const BackendServer& server, base::TimePoint now) const
{
  const std::string incarnation = incarnationOf(server.id, server.born);
  const auto found = incarnations_.find(incarnation);
  const bool hasEnded = found != incarnations_.end() && found->second.hasEnded;
  return !hasEnded && !server.draining && !domainsOut_.contains(server.domain) &&
         !isLost(incarnation, now);
}

base::TimePoint KeyCoordinator::allGrantsExpireAt(const std::string& incarnation) const
{
  const base::TimePoint previousGrantsExpireAt =
    unansweredCallExpiresAt(previousCoordinatorsStopAt_);
  const auto found = incarnations_.find(incarnation);
  return found == incarnations_.end()
           ? previousGrantsExpireAt
           : std::max(previousGrantsExpireAt, found->second.grants.allExpireAt());
}

const GrantLedger* KeyCoordinator::grantsToOwner(const KeyRange& range) const
{
  const auto found = incarnations_.find(incarnationOf(range.owner, range.born));
  return found == incarnations_.end() ? nullptr : &found->second.grants;
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

void KeyCoordinator::registerIncarnation(const BackendServer& server)
{
  incarnations_[incarnationOf(server.id, server.born)].server = server;
}

std::vector<PlacementServer> KeyCoordinator::placementServers(const base::ServiceId& service,
                                                              base::TimePoint now) const
{
  std::vector<PlacementServer> result;
  std::map<base::ServerId, std::size_t> index;
  const auto policy = services_.find(service);
  const double assumed = std::chrono::duration<double>(settings_.placement.assumedWork).count();
  for (const auto& [id, server] : servers_) {
    if (server.service != service || !isUsable(server, now)) {
      continue;
    }
    PlacementServer entry;
    entry.id = id;
    entry.born = server.born;
    entry.domain = server.domain;
    entry.slots = server.slots;
    const auto measured = work_.find(id);
    entry.work = measured == work_.end() ? assumed : measured->second.seconds(assumed);
    if (now < server.coldUntil && policy != services_.end()) {
      entry.rateLimit = policy->second.coldRate;
    }
    const auto limited = limited_.find(id);
    if (limited != limited_.end() && limited->second.server.born == server.born) {
      const double perSecond = limited->second.limit.perSecond;
      entry.rateLimit = entry.rateLimit > 0 ? std::min(entry.rateLimit, perSecond) : perSecond;
    }
    index[id] = result.size();
    result.push_back(entry);
  }
  const auto ranges = ranges_.find(service);
  const auto rates = rates_.find(service);
  if (ranges == ranges_.end()) {
    return result;
  }
  for (const ManagedRange& managed : ranges->second) {
    const base::ServerId& owner = managed.target ? *managed.target : managed.range.owner;
    const auto found = index.find(owner);
    if (found == index.end()) {
      continue;
    }
    PlacementServer& server = result[found->second];
    ++server.ranges;
    server.keys += static_cast<std::size_t>(managed.range.to - managed.range.from) + 1;
    server.rate +=
      rates == rates_.end() ? 0 : rates->second.rate(managed.range.from, managed.range.to);
  }
  return result;
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
  for (const KeyRange& range :
       partitionKeys(servers, initialRangesPerServer(servers.size(), settings_.placement))) {
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
  const bool mayAnswer = nextIncarnation(managed.range) != nullptr || !isLost(incarnation, now);
  if (holdsNothing) {
    free(managed, freedBy, now);
  } else if (mayAnswer && now >= previousCoordinatorsStopAt_) {
    managed.phase = Phase::Releasing;
    managed.nextCallAt = now;
  }
}

void KeyCoordinator::free(ManagedRange& managed, KeysFreedBy by, base::TimePoint now)
{
  managed.phase = Phase::Unowned;
  managed.freedBy = by;
  managed.freedAt = now;
}

void KeyCoordinator::renew(const base::ServiceId& service,
                           ManagedRange& managed,
                           CoordinatorActions& actions,
                           base::TimePoint now)
{
  const std::string incarnation = incarnationOf(managed.range.owner, managed.range.born);
  const auto known = incarnations_.find(incarnation);
  if (managed.phase != Phase::Owned || now < managed.nextCallAt || known == incarnations_.end() ||
      known->second.server.id != managed.range.owner || known->second.hasEnded ||
      nextIncarnation(managed.range) != nullptr || isLost(incarnation, now)) {
    return;
  }
  managed.nextCallAt = now + settings_.renewalInterval;
  known->second.grants.onCallBegun(managed.range.from, managed.range.to, managed.range.fence);
  actions.grants.push_back({ service,
                             managed.range.from,
                             managed.range.to,
                             managed.range.fence,
                             known->second.server,
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
  const auto known = incarnations_.find(incarnationOf(managed.range.owner, managed.range.born));
  managed.nextCallAt = now + kReleaseRetryInterval;
  if (known == incarnations_.end() || known->second.server.id != managed.range.owner) {
    return;
  }
  actions.releases.push_back({ service,
                               managed.range.from,
                               managed.range.to,
                               managed.range.fence + kReleaseStep,
                               known->second.server });
}

void KeyCoordinator::assignUnowned(const base::ServiceId& service,
                                   Ranges& ranges,
                                   CoordinatorActions& actions,
                                   base::TimePoint now)
{
  std::vector<PlacementServer> servers;
  std::size_t assigned = 0;
  for (ManagedRange& managed : ranges) {
    if (managed.phase != Phase::Unowned) {
      continue;
    }
    if (++assigned > kMaxAssignmentsPerTick) {
      return;
    }
    if (servers.empty()) {
      servers = placementServers(service, now);
    }
    const double rate = rates_[service].rate(managed.range.from, managed.range.to);
    const std::size_t keys = static_cast<std::size_t>(managed.range.to - managed.range.from) + 1;
    PlacementServer* chosen = nullptr;
    for (PlacementServer& server : servers) {
      chosen = managed.target == server.id ? &server : chosen;
    }
    if (chosen == nullptr) {
      chosen = leastLoaded(servers, rate, keys);
      if (chosen == nullptr) {
        return;
      }
      chosen->rate += rate;
      chosen->keys += keys;
    }
    const KeyRange previous = managed.range;
    managed.range.owner = chosen->id;
    managed.range.born = chosen->born;
    managed.range.fence += kOwnerStep;
    managed.target.reset();
    actions.ownerChanges.push_back(
      { service, previous, managed.range, managed.freedBy, managed.freedAt });
    managed.phase = Phase::AwaitingWrite;
    hasUnwrittenChanges_ = true;
  }
}

void KeyCoordinator::planMoves(const base::ServiceId& service, Ranges& ranges, base::TimePoint now)
{
  const auto moving = static_cast<std::size_t>(
    std::count_if(ranges.begin(), ranges.end(), [](const ManagedRange& managed) {
      return managed.target.has_value() || managed.phase != Phase::Owned;
    }));
  auto servers = placementServers(service, now);
  mergeOwnedRanges(ranges, servers.size());
  const std::size_t atOnce = std::max<std::size_t>(
    settings_.placement.maxConcurrentMoves, servers.size() / settings_.placement.serversPerMove);
  for (std::size_t i = moving; i < atOnce; ++i) {
    KeyRanges movable;
    for (const ManagedRange& managed : ranges) {
      if (managed.phase == Phase::Owned && !managed.target) {
        movable.push_back(managed.range);
      }
    }
    const auto move = planMove(servers, movable, rates_[service], settings_.placement);
    if (!move) {
      return;
    }
    applyMove(servers,
              findRange(movable, move->from)->owner,
              *move,
              rates_[service].rate(move->from, move->to));
    startMove(ranges, *move);
  }
}

// Splits the moving part off its range. The split changes no owner, so that it is written together
// with the move.
void KeyCoordinator::startMove(Ranges& ranges, const PlannedMove& move)
{
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    if (move.from < ranges[i].range.from || move.to > ranges[i].range.to) {
      continue;
    }
    if (ranges[i].range.from < move.from) {
      ManagedRange before = ranges[i];
      before.range.to = static_cast<KeyNumber>(move.from - 1);
      ranges[i].range.from = move.from;
      ranges.insert(ranges.begin() + static_cast<std::ptrdiff_t>(i), before);
      ++i;
    }
    if (move.to < ranges[i].range.to) {
      ManagedRange after = ranges[i];
      after.range.from = static_cast<KeyNumber>(move.to + 1);
      ranges[i].range.to = move.to;
      ranges.insert(ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1, after);
    }
    ranges[i].target = move.target;
    return;
  }
}

// Splits add ranges, and each range costs one call per renewal. Adjacent ranges of the same owner
// are merged into one under a fencing token above both, for which the owner needs no release.
void KeyCoordinator::mergeOwnedRanges(Ranges& ranges, std::size_t servers)
{
  const double limit = kMergeFactor * static_cast<double>(servers) *
                       initialRangesPerServer(servers, settings_.placement);
  if (static_cast<double>(ranges.size()) < limit) {
    return;
  }
  for (std::size_t i = 0; i + 1 < ranges.size();) {
    ManagedRange& left = ranges[i];
    const ManagedRange& right = ranges[i + 1];
    const bool mergeable = left.phase == Phase::Owned && right.phase == Phase::Owned &&
                           !left.target && !right.target && left.handover.empty() &&
                           right.handover.empty() && left.range.owner == right.range.owner &&
                           left.range.born == right.range.born;
    if (!mergeable) {
      ++i;
      continue;
    }
    left.range.to = right.range.to;
    left.range.fence = std::max(left.range.fence, right.range.fence) + kOwnerStep;
    left.phase = Phase::AwaitingWrite;
    hasUnwrittenChanges_ = true;
    ranges.erase(ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    ++i;
  }
}

// Probes lost servers by asking them to release a key. After its ranges have moved a lost server
// owns nothing, so the release has no effect, and an answer shows that the server is reachable
// again.
void KeyCoordinator::probeLost(CoordinatorActions& actions, base::TimePoint now)
{
  for (auto& [name, incarnation] : incarnations_) {
    const auto present = servers_.find(incarnation.server.id);
    if (!isLost(name, now) || now < incarnation.nextProbeAt || present == servers_.end() ||
        present->second.born != incarnation.server.born) {
      continue;
    }
    incarnation.nextProbeAt = now + kProbeInterval;
    actions.releases.push_back({ incarnation.server.service, 0, 0, 0, incarnation.server });
  }
}

std::vector<KeyCoordinator::ManagedRange*> KeyCoordinator::rangesOf(const base::ServiceId& service,
                                                                    KeyNumber from,
                                                                    KeyNumber to,
                                                                    std::uint64_t fence)
{
  std::vector<ManagedRange*> result;
  const auto found = ranges_.find(service);
  if (found == ranges_.end()) {
    return result;
  }
  for (ManagedRange& managed : found->second) {
    if (managed.range.from >= from && managed.range.to <= to && managed.range.fence == fence) {
      result.push_back(&managed);
    }
  }
  return result;
}

void KeyCoordinator::onCallAnswered(const std::string& name)
{
  Incarnation& incarnation = incarnations_[name];
  incarnation.unansweredCalls = 0;
  incarnation.unansweredSince = {};
}

void KeyCoordinator::onCallUnanswered(const std::string& name, base::TimePoint now)
{
  Incarnation& incarnation = incarnations_[name];
  if (incarnation.unansweredCalls == 0) {
    incarnation.unansweredSince = now - settings_.callTimeout;
  }
  ++incarnation.unansweredCalls;
}

void KeyCoordinator::refreshRecord()
{
  for (const auto& [service, ranges] : ranges_) {
    KeyRanges& written = record_.services[service];
    written.clear();
    for (const ManagedRange& managed : ranges) {
      written.push_back(managed.range);
    }
  }
}

} // namespace sycamore::dispatch

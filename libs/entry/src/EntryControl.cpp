#include <entry/EntryControl.h>

#include <entry/HandlerScope.h>
#include <entry/SteadyTime.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 50 };
// The answers of the store and of servers to the control thread may take this fraction of the
// process's memory.
constexpr std::uint64_t kControlMemoryShare = 4;
// Time for which a previous coordinator may still give out permits: until its last confirmation by
// the store has become too old.
constexpr base::Duration kIssuerOverlap = base::milliseconds(1500);

dispatch::CoordinatorSettings coordinatorSettings(const dispatch::EntrySettings& settings)
{
  dispatch::CoordinatorSettings result;
  result.grantDuration = std::min(result.grantDuration, settings.maxGrantDuration);
  return result;
}

} // namespace

EntryControl::EntryControl(asio::io_context& context,
                           const dispatch::EntrySettings& settings,
                           EventLog& log,
                           std::uint64_t run,
                           RoutingViewPublisher::Publish publish,
                           RemoteBreakListener remoteBreakListener,
                           LoadSharing::SummaryListener sharedLoadListener,
                           LimitSharing::GrantListener permitListener,
                           QuotaSharing::LoanListener loanListener)
  : settings_(settings)
  , log_(log)
  , viewPublisher_(log, std::move(publish))
  , remoteBreakListener_(std::move(remoteBreakListener))
  , self_{ settings.vm, run, settings.ip }
  , calls_(context, BufferQuota(settings.memoryBytes / kControlMemoryShare))
  , store_(calls_, settings.store, bytes_)
  , peerLink_(
      context,
      { settings.ip, settings.peerPort },
      bytes_,
      [this](const PeerMessage& message, const std::string& from) { onPeerMessage(message, from); })
  , peerTable_({})
  , changeRelay_(peerLink_, peerTable_, log, settings.domain)
  , heartbeatSender_(peerLink_, peerTable_, settings.domain)
  , handover_(log, settings.capacity)
  , reportSender_(peerLink_, settings, run)
  , loadSharing_(peerLink_, settings.ip, settings.domain, std::move(sharedLoadListener))
  , limitSharing_(peerLink_, log, std::move(permitListener))
  , quotaSharing_(peerLink_, settings.quota, run, std::move(loanListener))
  , coordinatorRole_(
      calls_,
      store_,
      log,
      bytes_,
      settings.domain,
      coordinatorSettings(settings),
      self_,
      [this](const dispatch::OwnershipRecord& record, const dispatch::OwnershipDelta& delta) {
        onRecordConfirmed(record, delta);
      },
      [this](const dispatch::OwnershipRecord& record, std::uint64_t revision) {
        ownership_.adopt(record, revision);
      })
  , succession_(clockNow())
  , mirrors_(context,
             store_,
             log,
             run,
             { [this](const auto& objects) { onConfiguration(objects); },
               [this](const auto& objects) { onServers(objects); },
               [this](const auto& objects) { viewPublisher_.setDomainsOut(objects); },
               [this](const auto& change) { onChangeRead(change); } })
  , ownership_(store_, log, [this] { onOwnershipChanged(); })
  , tickTimer_(context)
  , vmRegistry_(
      context,
      store_,
      log,
      settings.vm,
      { settings.ip, settings.domain, settings.capacity },
      // A new coordinator needs the addresses of all entry VMs. The others only need to know how
      // many share the limits, until the coordinator tells them.
      [this] { return coordinatorRole_.active(); },
      [this](const auto& vm, const auto& record) { onVmRegistered(vm, record); },
      [this] { onVmsListed(); })
{
  store_.setRestoredListener([this](std::uint64_t era) { onStoreRestored(era); });
}

void EntryControl::start()
{
  mirrors_.start();
  vmRegistry_.start();
  tick();
}

void EntryControl::onVmRegistered(const base::VmId& vm, const dispatch::EntryVmRecord& record)
{
  if (vm != settings_.vm) {
    peerTable_.onRegistered(vm, record, clockNow());
  }
}

void EntryControl::onVmsListed()
{
  viewPublisher_.setEntryVms(std::max(view().entryVms, peerTable_.vmsSharingLimits(clockNow())),
                             coordinatorRole_.active());
}

void EntryControl::recordTraffic(TrafficReport report)
{
  loadSharing_.report({ std::move(report.use), std::move(report.demand) });
  record(report.keys, report.work);
}

void EntryControl::recordHotKeys(const dispatch::KeyReports& keys)
{
  record(keys, {});
  reportIfDue(clockNow());
}

void EntryControl::record(const dispatch::KeyReports& keys,
                          const std::map<base::ServerId, dispatch::WorkSample>& work)
{
  if (!coordinatorRole_.active()) {
    reportSender_.addKeys(keys);
    reportSender_.addWork(work);
    return;
  }
  const base::TimePoint now = clockNow();
  dispatch::MovePlanner& planner = coordinatorRole_.coordinator()->planner();
  for (const auto& [service, report] : keys) {
    planner.recordKeys(service, report, now);
  }
  for (const auto& [server, sample] : work) {
    planner.recordWork(server, sample, now);
  }
}

void EntryControl::onConnectionBreak(const ConnectionBreak& connectionBreak)
{
  reportSender_.addConnectionBreak(connectionBreak);
}

void EntryControl::onServerLimit(const dispatch::ServerIncarnation& server,
                                 std::optional<dispatch::RequestLimit> limit)
{
  limitSharing_.onAnswer(server, limit, clockNow());
}

void EntryControl::requestPermits(const dispatch::PermitQuestion& question)
{
  limitSharing_.requestPermits({ question }, clockNow());
}

void EntryControl::askForQuota(const dispatch::QuotaQuestions& questions)
{
  quotaSharing_.ask(questions, clockNow());
}

void EntryControl::beginDrain()
{
  leaving_ = true;
  reportSender_.beginDrain();
  heartbeatSender_.expedite();
}

void EntryControl::onConfiguration(const ObjectMirror::Objects& objects)
{
  if (viewPublisher_.setConfiguration(objects)) {
    quotaSharing_.setConfiguration(view().configuration);
  }
}

void EntryControl::onServers(const ObjectMirror::Objects& objects)
{
  viewPublisher_.setServers(objects, clockNow());
  limitSharing_.retain(*view().servers);
}

// The coordinator watches the store for all VMs.
void EntryControl::onChangeRead(const ObjectChange& change)
{
  if (coordinatorRole_.active()) {
    changeRelay_.send(change);
  }
}

void EntryControl::onStoreRestored(std::uint64_t era)
{
  log_.write("store_restored", { { "era", era } });
  viewPublisher_.onServersLeaving(viewPublisher_.endedServers(clockNow()));
  coordinatorRole_.onStoreRestored();
  vmRegistry_.start();
}

void EntryControl::onOwnershipChanged()
{
  const std::shared_ptr<const dispatch::OwnershipRecord>& record = ownership_.record();
  succession_.onRecordRead(*record, clockNow());
  if (coordinatorRole_.active() && record->coordinator != self_) {
    coordinatorRole_.resign("the ownership record names another entry VM as coordinator");
  }
  viewPublisher_.setOwnership(record);
}

// The store has confirmed a record of this VM as coordinator. The other entry VMs receive the
// change as a delta, or read the record if the delta is lost.
void EntryControl::onRecordConfirmed(const dispatch::OwnershipRecord& record,
                                     const dispatch::OwnershipDelta& delta)
{
  ownership_.adopt(record, delta.revision);
  changeRelay_.send(delta);
}

void EntryControl::onPeerMessage(const PeerMessage& message, const std::string& from)
{
  if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&message)) {
    onHeartbeat(*heartbeat, from);
  } else if (const auto* report = std::get_if<ReportMessage>(&message)) {
    onReport(*report, from);
  } else if (const auto* change = std::get_if<OwnershipDeltaMessage>(&message)) {
    if (!coordinatorRole_.active()) {
      ownership_.onDelta(change->delta, clockNow());
    }
  } else if (const auto* relayed = std::get_if<ObjectChangeMessage>(&message)) {
    mirrors_.onChangePart(relayed->change);
  } else if (const auto* use = std::get_if<ServerUseMessage>(&message)) {
    loadSharing_.onUseMessage(*use, from);
  } else if (const auto* load = std::get_if<LoadSummaryMessage>(&message)) {
    loadSharing_.onSummaryMessage(*load, from);
  } else if (const auto* sums = std::get_if<DomainSumsMessage>(&message)) {
    loadSharing_.onSumsMessage(*sums);
  } else if (const auto* limit = std::get_if<ServerLimitMessage>(&message)) {
    limitSharing_.onMessage(*limit, clockNow());
  } else if (const auto* request = std::get_if<PermitRequestMessage>(&message)) {
    limitSharing_.onMessage(*request, { from, false }, clockNow());
  } else if (const auto* grant = std::get_if<PermitGrantMessage>(&message)) {
    limitSharing_.onMessage(*grant);
  } else if (const auto* questions = std::get_if<QuotaQuestionsMessage>(&message)) {
    quotaSharing_.onMessage(*questions, { from, false }, clockNow());
  } else if (const auto* loans = std::get_if<QuotaLoansMessage>(&message)) {
    quotaSharing_.onMessage(*loans);
  } else if (const auto* stopped = std::get_if<CoordinatorStoppedMessage>(&message)) {
    onCoordinatorStopped(*stopped);
  }
}

void EntryControl::onCoordinatorStopped(const CoordinatorStoppedMessage& message)
{
  // Only the direct predecessor knows when all coordinators before it stop granting.
  if (!coordinatorRole_.active() ||
      message.epoch + 1 != coordinatorRole_.coordinator()->record().epoch) {
    return;
  }
  const base::TimePoint now = clockNow();
  coordinatorRole_.coordinator()->onPreviousCoordinatorStopped(
    { now + message.previousCoordinatorsStopIn, now + message.unansweredGrantsExpireIn });
  quotaSharing_.onPredecessorStopped(now + message.previousCoordinatorsStopIn);
}

void EntryControl::onHeartbeat(const HeartbeatMessage& message, const std::string& from)
{
  const std::uint64_t known = view().ownership ? view().ownership->epoch : 0;
  if (message.heartbeat.epoch < known || message.heartbeat.coordinator == self_) {
    return;
  }
  const PeerAddress sender{
    from, peerTable_.isInDomain(message.heartbeat.coordinator.vm, settings_.domain)
  };
  if (coordinatorRole_.active()) {
    if (message.heartbeat.epoch <= coordinatorRole_.coordinator()->record().epoch) {
      return;
    }
    resignTo(sender);
  }
  succession_.onHeartbeat(message, clockNow());
  quotaSharing_.onCoordinatorKnown(message.heartbeat.epoch, sender);
  ownership_.onRevisionAnnounced(message.revision, clockNow());
  if (dispatch::eraOf(message.revision) > 0) {
    store_.onEra(dispatch::eraOf(message.revision));
  }
  for (const ConnectionBreak& connectionBreak : message.connectionBreaks) {
    remoteBreakListener_(connectionBreak);
  }
  viewPublisher_.onServersLeaving(message.leavingServers);
  limitSharing_.onPage(message.limitedServers, clockNow());
  peerTable_.onSharersAnnounced(message.entryVms, clockNow());
  viewPublisher_.setEntryVms(message.entryVms, coordinatorRole_.active());
  loadSharing_.setAggregators(message.loadAggregator, message.otherLoadAggregators);
  adoptFreshness(message);
  mirrors_.onCoordinatorHeard(message.isRelay, message.lastChangeRevisions, clockNow());
}

// Stops acting as the coordinator, and tells its successor when it may grant.
void EntryControl::resignTo(const PeerAddress& successor)
{
  const base::TimePoint now = clockNow();
  const std::uint64_t epoch = coordinatorRole_.coordinator()->record().epoch;
  const dispatch::CoordinatorStop stop = coordinatorRole_.coordinator()->stopReport(now);
  coordinatorRole_.resign("another entry VM has a higher epoch");
  quotaSharing_.stopLending();
  const CoordinatorStoppedMessage stopped{
    epoch,
    std::max(base::Duration::zero(), stop.previousCoordinatorsStopAt - now),
    std::max(base::Duration::zero(), stop.unansweredGrantsExpireAt - now)
  };
  peerLink_.send(successor, stopped);
}

// Records how current the copy of the configuration is according to the coordinator's heartbeat.
void EntryControl::adoptFreshness(const HeartbeatMessage& message)
{
  const auto currentAt =
    message.configurationEcho ? reportSender_.currentAt(*message.configurationEcho) : std::nullopt;
  if (currentAt && !message.lastChangeRevisions.empty()) {
    // A stamp of another process would put it into the future.
    mirrors_.onConfigurationShownCurrent(message.lastChangeRevisions.front(),
                                         std::min(*currentAt, clockNow()));
  }
}

void EntryControl::onReport(const ReportMessage& message, const std::string& from)
{
  if (!coordinatorRole_.active()) {
    return;
  }
  const base::TimePoint now = clockNow();
  peerTable_.onReport(message.vm, { from, message.domain, message.capacity }, message.leaving, now);
  if (message.sentAt != 0) {
    heartbeatSender_.onReport(message.vm, message.sentAt, now);
  }
  record(message.keys, message.work);
  viewPublisher_.onServersLeaving(message.leavingServers);
  for (const ConnectionBreak& connectionBreak : message.connectionBreaks) {
    remoteBreakListener_(connectionBreak);
    onConnectionBreak(connectionBreak);
  }
}

void EntryControl::tick()
{
  const HandlerScope scope("control_tick");
  // Armed first, so that the next tick comes even if this one fails.
  tickTimer_.expires_after(kTickInterval);
  tickTimer_.async_wait([this](const error_code& error) {
    if (!error) {
      tick();
    }
  });
  const base::TimePoint now = clockNow();
  if (coordinatorRole_.active()) {
    updateCoordinator();
    coordinatorRole_.tick(now);
  } else if (!leaving_ && view().servers && view().configuration &&
             succession_.shouldTryTakeover(store_.reachable(), now)) {
    coordinatorRole_.tryTakeover(view().ownership ? view().ownership->epoch : 0);
  }
  mirrors_.tick(coordinatorRole_.active(), succession_.isStandby(view().entryVms), now);
  if (coordinatorRole_.active() && heartbeatSender_.isDue(now)) {
    sendHeartbeats(now);
  }
  updateLimits(now);
  updateQuotas(now);
  viewPublisher_.onConfigurationCurrent(mirrors_.configurationCurrentAt());
  if (!coordinatorRole_.active()) {
    ownership_.tick(now);
  }
  reportIfDue(now);
  loadSharing_.tick(view(), now);
}

void EntryControl::sendHeartbeats(base::TimePoint now)
{
  if (handover_.onEpoch(coordinatorRole_.coordinator()->record().epoch, now)) {
    vmRegistry_.list();
  }
  const std::vector<dispatch::Candidate> successors = peerTable_.successors(now);
  handover_.beginIfWorthwhile(successors, now);
  HeartbeatMessage message = heartbeat(now);
  viewPublisher_.setEntryVms(message.entryVms, coordinatorRole_.active());
  nameLoadAggregators(message, peerTable_.loadAggregators(now), settings_.domain, settings_.ip);
  loadSharing_.setAggregators(message.loadAggregator, message.otherLoadAggregators);
  const base::TimePoint configurationCurrentAt =
    viewPublisher_.requiresKeys() ? mirrors_.configurationCurrentAt() : base::TimePoint{};
  heartbeatSender_.send(std::move(message), successors, configurationCurrentAt, now);
}

// Returns the part of a heartbeat that is the same for all receivers.
HeartbeatMessage EntryControl::heartbeat(base::TimePoint now)
{
  HeartbeatMessage message;
  message.heartbeat = { self_,
                        coordinatorRole_.coordinator()->record().epoch,
                        coordinatorRole_.hasRecentStoreContact(now),
                        leaving_ || handover_.isHandingOver() };
  message.entryVms = static_cast<unsigned>(peerTable_.vmsSharingLimits(now));
  message.revision = coordinatorRole_.revision();
  message.connectionBreaks = reportSender_.takeConnectionBreaks();
  message.leavingServers = viewPublisher_.leavingServers();
  message.limitedServers = limitSharing_.nextPage();
  message.isRelay = coordinatorRole_.hasRecentStoreContact(now) && mirrors_.mayRelay(now);
  message.lastChangeRevisions = mirrors_.lastChangeRevisions();
  return message;
}

void EntryControl::reportIfDue(base::TimePoint now)
{
  if (coordinatorRole_.active() || !reportSender_.isDue(now)) {
    return;
  }
  if (view().ownership) {
    reportSender_.send(addressOf(view().ownership->coordinator),
                       viewPublisher_.leavingServers(),
                       viewPublisher_.requiresKeys());
  }
  reportSender_.scheduleNext(now);
}

PeerAddress EntryControl::addressOf(const dispatch::Coordinator& coordinator) const
{
  return { coordinator.address, peerTable_.isInDomain(coordinator.vm, settings_.domain) };
}

ControlStatus EntryControl::status() const
{
  ControlStatus status;
  status.isCoordinator = coordinatorRole_.active();
  status.watchesStore = mirrors_.areWatching();
  status.storeReachable = store_.reachable();
  status.calls = store_.calls();
  status.bytes = bytes_;
  status.ownershipRevision = ownership_.revision();
  status.entryVms = view().entryVms;
  status.quotas = quotaSharing_.counts();
  status.malformedTokens = coordinatorRole_.malformedTokens();
  status.orderAnswers = calls_.answers();
  status.secondsBehind = mirrors_.secondsBehind(clockNow());
  status.secondsSinceCurrent = mirrors_.secondsSinceCurrent(clockNow());
  if (coordinatorRole_.active()) {
    status.ranges = coordinatorRole_.coordinator()->managedRanges();
    status.rangesUnowned = coordinatorRole_.coordinator()->unownedRanges();
    status.hotSpanSpreads = coordinatorRole_.hotSpanSpreads();
  } else {
    status.secondsSinceHeartbeat =
      std::chrono::duration<double>(succession_.timeSinceHeartbeat(clockNow())).count();
  }
  return status;
}

void EntryControl::updateCoordinator()
{
  if (view().servers && view().configuration) {
    coordinatorRole_.coordinator()->setServices(view().configuration->services);
    coordinatorRole_.coordinator()->setServers(*view().servers, clockNow());
    coordinatorRole_.coordinator()->addFormerServers(viewPublisher_.formerServers(clockNow()));
    coordinatorRole_.coordinator()->setDomainsOut(view().domainsOut);
    coordinatorRole_.coordinator()->planner().setLimits(view().limitedServers);
  }
}

void EntryControl::updateLimits(base::TimePoint now)
{
  if (view().ownership) {
    limitSharing_.setCoordinator(addressOf(view().ownership->coordinator));
  }
  const bool isSoleIssuer = coordinatorRole_.active() &&
                            now >= handover_.epochBeganAt() + kIssuerOverlap &&
                            coordinatorRole_.hasRecentStoreContact(now);
  limitSharing_.setRole(coordinatorRole_.active(), isSoleIssuer, now);
  if (limitSharing_.takeChange()) {
    viewPublisher_.setLimitedServers(limitSharing_.list());
  }
}

void EntryControl::updateQuotas(base::TimePoint now)
{
  if (view().ownership) {
    quotaSharing_.onCoordinatorKnown(view().ownership->epoch,
                                     addressOf(view().ownership->coordinator));
  }
  if (coordinatorRole_.active()) {
    quotaSharing_.lend(
      coordinatorRole_.coordinator()->record().epoch, coordinatorRole_.storeContactUntil(), now);
  } else {
    quotaSharing_.stopLending();
  }
}

} // namespace sycamore::entry

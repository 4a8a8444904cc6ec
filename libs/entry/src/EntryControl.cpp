#include <entry/EntryControl.h>

#include <entry/SteadyTime.h>

#include <wire/WireError.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

constexpr std::chrono::milliseconds kTick{ 50 };
// Length of a watch without changes: it bounds how long a connection that has gone silent hides
// changes, and each watch is a call that is counted.
constexpr std::chrono::milliseconds kWatchWait{ 4000 };
// Pauses after a change, in which further changes gather. Servers change often, one by one, while
// many start or leave.
constexpr std::chrono::milliseconds kConfigurationRest{ 150 };
constexpr std::chrono::milliseconds kServersRest{ 300 };
// Time between two messages of the coordinator.
constexpr base::Duration kBeatInterval = base::milliseconds(200);
constexpr base::Duration kReportInterval = base::milliseconds(500);
// An entry VM that hasn't reported for this time can't succeed the coordinator.
constexpr base::Duration kPeerLife = std::chrono::seconds(4);
// One that hasn't reported for this time doesn't use its share of the deployment's limits any more:
// a VM that is only cut off from the others goes on serving.
constexpr base::Duration kShareLife = std::chrono::seconds(60);
constexpr std::chrono::milliseconds kRegisterRetry{ 1000 };
// Time for the reports of all VMs to arrive before a handover is considered.
constexpr base::Duration kHandoverAfter = base::milliseconds(1000);
// Most breaks told in one message.
constexpr std::size_t kMaxBreaks = 32;

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
                           Publish publish,
                           RemoteBreak remoteBreak)
  : settings_(settings)
  , log_(log)
  , publish_(std::move(publish))
  , remoteBreak_(std::move(remoteBreak))
  , self_{ settings.vm, run, settings.ip }
  , calls_(context)
  , store_(calls_, settings.store)
  , peers_(context,
           { settings.ip, settings.peerPort },
           [this](const PeerMessage& message, const std::string& from) { onPeer(message, from); })
  , duty_(
      calls_,
      store_,
      log,
      coordinatorSettings(settings),
      self_,
      [this](const dispatch::OwnershipRecord& record, const dispatch::OwnershipDelta& delta) {
        onConfirmed(record, delta);
      },
      [this](const dispatch::OwnershipRecord& record, std::uint64_t revision) {
        adoptRecord(record, revision);
      })
  , election_({}, clockNow())
  , configurationMirror_(
      context,
      store_,
      log,
      { wire::Kind::Configuration, kWatchWait, kConfigurationRest, run + 1 },
      [this](const auto& objects) { onConfiguration(objects); },
      [this](const auto& change) { relay(change); })
  , serversMirror_(
      context,
      store_,
      log,
      { wire::Kind::Servers, kWatchWait, kServersRest, run + 2 },
      [this](const auto& objects) { onServers(objects); },
      [this](const auto& change) { relay(change); })
  , domainsOutMirror_(
      context,
      store_,
      log,
      { wire::Kind::DomainsOut, kWatchWait, kConfigurationRest, run + 3 },
      [this](const auto& objects) { onDomainsOut(objects); },
      [this](const auto& change) { relay(change); })
  , mirrors_{ &configurationMirror_, &serversMirror_, &domainsOutMirror_ }
  , ownership_({}, clockNow())
  , tickTimer_(context)
  , registerTimer_(context)
{
}

void EntryControl::start()
{
  for (ObjectMirror* mirror : mirrors_) {
    mirror->start();
  }
  registerSelf(0);
  tick();
}

void EntryControl::recordTraffic(TrafficReport report)
{
  if (duty_.active()) {
    countForCoordinator(report.keys, report.work);
    return;
  }
  for (const auto& [service, counts] : report.keys) {
    for (const auto& [bucket, count] : counts) {
      pendingReport_.keys[service][bucket] += count;
    }
  }
  for (const auto& [server, sample] : report.work) {
    pendingReport_.work[server].count += sample.count;
    pendingReport_.work[server].total += sample.total;
  }
}

void EntryControl::countForCoordinator(const std::map<base::ServiceId, dispatch::KeyCounts>& keys,
                                       const std::map<base::ServerId, dispatch::WorkSample>& work)
{
  const base::TimePoint now = clockNow();
  for (const auto& [service, counts] : keys) {
    duty_.coordinator()->recordKeyCounts(service, counts, now);
  }
  for (const auto& [server, sample] : work) {
    duty_.coordinator()->recordWork(server, sample, now);
  }
}

void EntryControl::onConnectionBreak(const ConnectionBreak& entry)
{
  if (pendingBreaks_.size() < kMaxBreaks) {
    pendingBreaks_.push_back(entry);
  }
}

void EntryControl::beginDrain()
{
  leaving_ = true;
  nextBeat_ = {};
}

// Other entry VMs find this one by its entry. An entry of an earlier VM of the same name is
// replaced.
void EntryControl::registerSelf(std::uint64_t revision)
{
  store_.write(wire::Kind::EntryVms,
               settings_.vm.value(),
               revision,
               registration(),
               [this](const StoreAnswer& answer) { onRegistered(answer); });
}

std::string EntryControl::registration() const
{
  return dispatch::writeEntryVmRecord({ settings_.ip, settings_.capacity });
}

void EntryControl::onRegistered(const StoreAnswer& answer)
{
  if (answer.outcome == StoreOutcome::Done) {
    listPeers();
    return;
  }
  if (answer.outcome == StoreOutcome::Conflict) {
    try {
      const wire::StoreObject object = wire::readObject(answer.body);
      if (wire::ownContent(object) == registration()) {
        listPeers();
      } else {
        registerSelf(object.revision);
      }
      return;
    } catch (const wire::WireError& error) {
      log_.write("store_answer_unreadable", { { "error", error.what() } });
    }
  }
  registerTimer_.expires_after(kRegisterRetry);
  registerTimer_.async_wait([this](const error_code& error) {
    if (!error) {
      registerSelf(0);
    }
  });
}

// A new coordinator has to know whom to write to, and every VM how many share the limits.
void EntryControl::listPeers(const std::string& after)
{
  store_.list(wire::Kind::EntryVms, after, [this](const StoreAnswer& answer) {
    if (answer.outcome != StoreOutcome::Done) {
      return;
    }
    try {
      const wire::ListPage page = wire::readList(answer.body);
      for (const wire::StoreObject& object : page.items) {
        const base::VmId vm(object.name);
        if (vm != settings_.vm && !peerTable_.contains(vm)) {
          const auto record = dispatch::readEntryVmRecord(wire::ownContent(object));
          peerTable_[vm] = { record.address, record.capacity, 0, clockNow() };
        }
      }
      setEntryVms(std::max(view_.entryVms, sharers(clockNow())));
      if (page.more && !page.items.empty()) {
        listPeers(page.items.back().name);
      }
    } catch (const std::exception& error) {
      log_.write("store_answer_unreadable", { { "error", error.what() } });
    }
  });
}

void EntryControl::onConfiguration(const ObjectMirror::Objects& objects)
{
  const auto found = objects.find(wire::kConfigurationName);
  if (found == objects.end()) {
    return;
  }
  try {
    auto configuration = wire::decodeConfiguration(found->second);
    if (view_.configuration && configuration->version < view_.configuration->version) {
      log_.write(
        "configuration_older",
        { { "version", configuration->version }, { "in_force", view_.configuration->version } });
      return;
    }
    log_.write("configuration",
               { { "version", configuration->version },
                 { "revision", found->second.revision },
                 { "routes", configuration->routes.size() } });
    view_.configuration = std::move(configuration);
    publish();
  } catch (const wire::WireError& error) {
    log_.write("configuration_unreadable", { { "error", error.what() } });
  }
}

void EntryControl::onServers(const ObjectMirror::Objects& objects)
{
  const base::TimePoint now = clockNow();
  auto servers = std::make_shared<std::map<base::ServerId, dispatch::BackendServer>>();
  std::map<std::string, std::uint64_t> revisions;
  for (const auto& [name, object] : objects) {
    const auto known = serverRevisions_.find(name);
    const base::ServerId id(name);
    const bool unchanged = known != serverRevisions_.end() && known->second == object.revision &&
                           view_.servers && view_.servers->contains(id);
    std::string why;
    const auto server =
      unchanged ? std::optional(view_.servers->at(id)) : wire::decodeServer(object, now, why);
    if (!server) {
      if (known == serverRevisions_.end() || known->second != object.revision) {
        log_.write("server_entry_unreadable", { { "name", name }, { "error", why } });
      }
      revisions[name] = object.revision;
      continue;
    }
    if (!unchanged) {
      log_.write("server",
                 { { "id", name },
                   { "service", server->service.value() },
                   { "address", server->address },
                   { "born", server->born },
                   { "draining", server->draining || object.deleting } });
    }
    revisions[name] = object.revision;
    (*servers)[id] = *server;
    (*servers)[id].draining = server->draining || object.deleting;
  }
  if (view_.servers) {
    for (const auto& [id, server] : *view_.servers) {
      if (!servers->contains(id)) {
        log_.write("server_gone", { { "id", id.value() } });
      }
    }
  }
  serverRevisions_ = std::move(revisions);
  view_.servers = std::move(servers);
  publish();
}

void EntryControl::onDomainsOut(const ObjectMirror::Objects& objects)
{
  std::set<base::DomainId> out;
  for (const auto& [name, object] : objects) {
    out.insert(base::DomainId(name));
  }
  if (out != view_.domainsOut) {
    nlohmann::json names = nlohmann::json::array();
    for (const base::DomainId& domain : out) {
      names.push_back(domain.value());
    }
    log_.write("domains_out", { { "domains", names } });
    view_.domainsOut = std::move(out);
    publish();
  }
}

// The coordinator watches the store for all entry VMs.
void EntryControl::relay(const ObjectChange& change)
{
  if (!duty_.active()) {
    return;
  }
  const std::vector<std::string> addresses = peerAddresses();
  for (const ObjectChange& part : splitChange(change)) {
    peers_.send(addresses, ChangeMessage{ part });
  }
}

std::vector<std::string> EntryControl::peerAddresses() const
{
  std::vector<std::string> addresses;
  for (const auto& [vm, peer] : peerTable_) {
    addresses.push_back(peer.address);
  }
  return addresses;
}

// A record that is known to have changed may be read from an old copy of the store, if that has the
// change.
void EntryControl::readOwnership()
{
  readOwnership(ownership_.isBehind() ? wire::Reading::MayBeOld : wire::Reading::Current);
}

void EntryControl::readOwnership(wire::Reading reading)
{
  store_.read(wire::Kind::Ownership,
              wire::kOwnershipName,
              reading,
              [this, reading](const StoreAnswer& answer) { onOwnershipRead(answer, reading); });
}

void EntryControl::onOwnershipRead(const StoreAnswer& answer, wire::Reading reading)
{
  if (answer.outcome == StoreOutcome::Done) {
    try {
      const wire::StoreObject object = wire::readObject(answer.body);
      adoptRecord(dispatch::readOwnershipRecord(wire::ownContent(object)), object.revision);
    } catch (const base::Error& error) {
      log_.write("ownership_unreadable", { { "error", error.what() } });
    }
  }
  if (reading == wire::Reading::MayBeOld && store_.reachable() && ownership_.isBehind()) {
    readOwnership(wire::Reading::Current);
  }
}

void EntryControl::adoptRecord(dispatch::OwnershipRecord record, std::uint64_t revision)
{
  if (ownership_.onRecordRead(std::move(record), revision)) {
    onOwnershipChanged();
  }
}

void EntryControl::onOwnershipChanged()
{
  view_.ownership = ownership_.record();
  election_.onRecordRead(*view_.ownership, clockNow());
  if (duty_.active() && view_.ownership->coordinator != self_) {
    duty_.resign("the record names another entry VM");
  }
  publish();
}

// A record of our own as coordinator. The other entry VMs learn of the change by a delta, or read
// the record if that is lost.
void EntryControl::onConfirmed(const dispatch::OwnershipRecord& record,
                               const dispatch::OwnershipDelta& delta)
{
  adoptRecord(record, delta.revision);
  peers_.send(peerAddresses(), DeltaMessage{ delta });
}

void EntryControl::onPeer(const PeerMessage& message, const std::string& from)
{
  if (const auto* beat = std::get_if<BeatMessage>(&message)) {
    onBeat(*beat, from);
  } else if (const auto* report = std::get_if<ReportMessage>(&message)) {
    onReport(*report, from);
  } else if (const auto* change = std::get_if<DeltaMessage>(&message)) {
    if (!duty_.active() && ownership_.applyDelta(change->delta, clockNow())) {
      onOwnershipChanged();
    }
  } else if (const auto* relayed = std::get_if<ChangeMessage>(&message)) {
    onChange(relayed->change);
  } else if (const auto* stopped = std::get_if<StoppedMessage>(&message)) {
    // Only the last one before this knows of all that came before it.
    if (duty_.active() && stopped->epoch + 1 == duty_.coordinator()->record().epoch) {
      duty_.coordinator()->onPreviousCoordinatorStopped(clockNow() + stopped->othersRemain);
    }
  }
}

void EntryControl::onBeat(const BeatMessage& message, const std::string& from)
{
  const std::uint64_t known = view_.ownership ? view_.ownership->epoch : 0;
  if (message.beat.epoch < known || message.beat.coordinator == self_) {
    return;
  }
  if (duty_.active()) {
    const std::uint64_t own = duty_.coordinator()->record().epoch;
    if (message.beat.epoch <= own) {
      return;
    }
    const base::TimePoint now = clockNow();
    const base::TimePoint othersStop = duty_.coordinator()->previousCoordinatorsStopAt();
    duty_.resign("another entry VM has a higher epoch");
    const StoppedMessage stopped{ own, std::max(base::Duration::zero(), othersStop - now) };
    peers_.send(from, stopped);
  }
  coordinatorHeard_ = clockNow();
  election_.onHeartbeat(message.beat, coordinatorHeard_);
  ownership_.onRevisionAnnounced(message.revision, clockNow());
  rank_ = message.rank;
  for (const ConnectionBreak& entry : message.breaks) {
    remoteBreak_(entry);
  }
  setEntryVms(message.entryVms);
  if (message.relays && message.changedAt.size() == mirrors_.size()) {
    for (std::size_t i = 0; i < mirrors_.size(); ++i) {
      mirrors_[i]->noteRelay(message.changedAt[i], clockNow());
    }
  }
}

void EntryControl::onChange(const ObjectChange& change)
{
  for (ObjectMirror* mirror : mirrors_) {
    if (mirror->kind() == change.kind) {
      mirror->noteChange(change);
    }
  }
}

void EntryControl::onReport(const ReportMessage& message, const std::string& from)
{
  if (!duty_.active()) {
    return;
  }
  const base::TimePoint now = clockNow();
  Peer& peer = peerTable_[message.vm];
  peer.address = from;
  peer.capacity = message.capacity;
  peer.run = message.run;
  peer.lastHeard = message.leaving ? base::TimePoint{} : now;
  countForCoordinator(message.keys, message.work);
  for (const ConnectionBreak& entry : message.breaks) {
    remoteBreak_(entry);
    onConnectionBreak(entry);
  }
}

void EntryControl::tick()
{
  const base::TimePoint now = clockNow();
  if (duty_.active()) {
    feedCoordinator();
    duty_.tick(now);
  } else if (!leaving_ && view_.servers && view_.configuration &&
             election_.shouldTryTakeover(rank_, store_.reachable(), now)) {
    duty_.tryAcquire(view_.ownership ? view_.ownership->epoch : 0);
  }
  for (ObjectMirror* mirror : mirrors_) {
    mirror->tick(duty_.active(), now);
  }
  if (duty_.active() && now >= nextBeat_) {
    sendBeats(now);
    nextBeat_ = now + kBeatInterval;
  }
  if (!duty_.active() && ownership_.beginReadIfDue(now) && store_.mayAsk(now)) {
    readOwnership();
  }
  if (!duty_.active() && now >= nextReport_) {
    sendReport();
    nextReport_ = now + kReportInterval;
  }
  tickTimer_.expires_after(kTick);
  tickTimer_.async_wait([this](const error_code& error) {
    if (!error) {
      tick();
    }
  });
}

void EntryControl::sendBeats(base::TimePoint now)
{
  if (listedEpoch_ != duty_.coordinator()->record().epoch) {
    listedEpoch_ = duty_.coordinator()->record().epoch;
    dutySince_ = now;
    listPeers();
  }
  BeatMessage message;
  const std::vector<dispatch::Candidate> order = successors(now);
  considerHandover(order, now);
  message.beat = {
    self_, duty_.coordinator()->record().epoch, duty_.storeReachable(), leaving_ || handsOver()
  };
  message.entryVms = static_cast<unsigned>(sharers(now));
  message.revision = duty_.revision();
  message.breaks = std::move(pendingBreaks_);
  pendingBreaks_.clear();
  message.relays = duty_.seesStore(now);
  for (const ObjectMirror* mirror : mirrors_) {
    message.relays = message.relays && mirror->watching();
    message.changedAt.push_back(mirror->changedAt());
  }
  setEntryVms(message.entryVms);
  // VMs that have fallen silent get the last place: they may be back.
  std::map<base::VmId, unsigned> ranks;
  for (const dispatch::Candidate& candidate : order) {
    ranks.emplace(candidate.vm, static_cast<unsigned>(ranks.size()));
  }
  for (const auto& [vm, peer] : peerTable_) {
    const auto rank = ranks.find(vm);
    message.rank = rank == ranks.end() ? static_cast<unsigned>(ranks.size()) : rank->second;
    peers_.send(peer.address, message);
  }
}

// Entry VMs that could become the coordinator, in their order.
std::vector<dispatch::Candidate> EntryControl::successors(base::TimePoint now) const
{
  std::vector<dispatch::Candidate> order;
  for (const auto& [vm, peer] : peerTable_) {
    if (now < peer.lastHeard + kPeerLife) {
      order.push_back({ vm, peer.capacity });
    }
  }
  dispatch::sortBySuccession(order);
  return order;
}

bool EntryControl::handsOver() const
{
  return handoverEpoch_ != 0 && duty_.coordinator()->record().epoch == handoverEpoch_;
}

// The first coordinator is whoever was first to write the record.
void EntryControl::considerHandover(const std::vector<dispatch::Candidate>& order,
                                    base::TimePoint now)
{
  if (handoverEpoch_ != 0 || order.empty() || now < dutySince_ + kHandoverAfter ||
      !dispatch::isWorthHandover(settings_.capacity, order.front())) {
    return;
  }
  handoverEpoch_ = duty_.coordinator()->record().epoch;
  log_.write("coordinator_hands_over",
             { { "to", order.front().vm.value() },
               { "capacity", order.front().capacity },
               { "own_capacity", settings_.capacity } });
}

void EntryControl::sendReport()
{
  if (!view_.ownership) {
    return;
  }
  ReportMessage message;
  message.vm = self_.vm;
  message.run = self_.run;
  message.capacity = settings_.capacity;
  message.keys = std::move(pendingReport_.keys);
  message.work = std::move(pendingReport_.work);
  message.breaks = std::move(pendingBreaks_);
  message.leaving = leaving_;
  pendingReport_ = {};
  pendingBreaks_.clear();
  peers_.send(view_.ownership->coordinator.address, message);
}

ControlStatus EntryControl::status() const
{
  ControlStatus status;
  status.isCoordinator = duty_.active();
  status.watchesStore = std::ranges::all_of(mirrors_, &ObjectMirror::watching);
  status.storeReachable = store_.reachable();
  status.calls = store_.calls();
  status.ownershipRevision = ownership_.revision();
  status.entryVms = view_.entryVms;
  if (duty_.active()) {
    status.ranges = duty_.coordinator()->managedRanges();
    status.rangesUnowned = duty_.coordinator()->unownedRanges();
  } else {
    status.secondsSinceHeartbeat =
      std::chrono::duration<double>(clockNow() - coordinatorHeard_).count();
  }
  return status;
}

void EntryControl::feedCoordinator()
{
  if (view_.servers && view_.configuration) {
    duty_.coordinator()->setServices(view_.configuration->services);
    duty_.coordinator()->setServers(*view_.servers, clockNow());
    duty_.coordinator()->setDomainsOut(view_.domainsOut);
  }
}

void EntryControl::publish()
{
  publish_(std::make_shared<dispatch::RoutingView>(view_));
}

void EntryControl::setEntryVms(std::size_t count)
{
  if (view_.entryVms != count && count > 0) {
    view_.entryVms = count;
    publish();
  }
}

// Entry VMs that may be sending requests to servers, this one included.
std::size_t EntryControl::sharers(base::TimePoint now) const
{
  const auto peers = std::count_if(peerTable_.begin(), peerTable_.end(), [now](const auto& entry) {
    return now < entry.second.lastHeard + kShareLife;
  });
  return static_cast<std::size_t>(peers) + 1;
}

} // namespace sycamore::entry

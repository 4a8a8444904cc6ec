#include <control/Controller.h>

#include <control/ControlError.h>
#include <control/LoadCodec.h>
#include <control/PeerCodec.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <placement/ShardMapCodec.h>

namespace sycamore::control {

using base::ServerId;
using base::ServiceId;
using base::TimePoint;
using base::VmId;
using nlohmann::json;
using ownership::LeaseKind;

namespace {

constexpr base::milliseconds kHeartbeatInterval{ 250 };
constexpr base::milliseconds kHeartbeatTimeout{ 250 };
constexpr base::milliseconds kFetchTimeout{ 1000 };
// Rates over a shorter interval are mostly noise. Hot keys are split out within a few reports.
constexpr base::milliseconds kLoadInterval{ 1000 };
// Routes are published at least this often, since a known holder expires without an event.
constexpr base::milliseconds kRouteInterval{ 200 };
// A server that drains, or whose failure domain was taken out of service, may receive new requests
// for this long while planned moves transfer its shards. After that it receives none, even if it
// still owns shards. The limits are 2 s after a drain and 3 s after taking a domain out.
constexpr base::milliseconds kLeaveGracePeriod{ 1200 };

} // namespace

Controller::Controller(ControllerSettings settings,
                       ControlIo& io,
                       router::DispatcherTable& dispatchers,
                       router::QuarantineRegistry& quarantine,
                       router::RoutingPublisher& routing,
                       std::function<void(const std::string&)> log)
  : settings_(std::move(settings))
  , members_(settings_.self.vm, settings_.domain, {})
  , context_{ settings_.self,
              settings_.domain,
              settings_.peerAddress,
              settings_.platformAddress,
              io,
              members_,
              counters_,
              std::move(log) }
  , routing_(routing)
  , quarantine_(quarantine)
  , config_(
      context_,
      [this] { onConfigAdopted(); },
      [this](const VmId& peer) { notifyPeer(peer); })
  , maps_(context_, *this)
  , ownership_(context_, *this, ownership::LeaseTimings::Builder().build(), dispatchers, quarantine)
  , platform_(context_, *this)
{
}

Controller::~Controller() = default;

void Controller::tick()
{
  const TimePoint now = context_.now();
  platform_.tick(members_.isRelay(now));
  config_.tick();
  ownership_.tick(platform_.isReachable());
  maps_.tick(platform_.isReachable());
  if (leaving_) {
    ownership_.resignAll();
  }
  if (now >= nextHeartbeat_ || heartbeatDue_) {
    heartbeatDue_ = false;
    nextHeartbeat_ = now + kHeartbeatInterval;
    sendHeartbeats();
  }
  if (now >= nextLoads_) {
    nextLoads_ = now + kLoadInterval;
    reportLoads();
  }
  if (routesDirty_ || now >= nextRoutes_) {
    nextRoutes_ = now + kRouteInterval;
    publishRoutes();
  }
}

void Controller::writeMap(const ServiceId& service,
                          const ServerId& server,
                          const ownership::WriteMap& change)
{
  maps_.requestWrite(service, server, change);
}

void Controller::advanceGeneration(const ServiceId& service,
                                   const ServerId& server,
                                   base::Generation base)
{
  maps_.advanceGeneration(service, server, base);
}

void Controller::onChangeResolved(const ServerId& server)
{
  maps_.onChangeResolved(server);
}

void Controller::onHoldersChanged()
{
  routesDirty_ = true;
  heartbeatDue_ = true;
}

void Controller::onMapAdopted(const ServiceId& service)
{
  const auto stored = maps_.find(service);
  const auto& services = config_.snapshot()->services;
  const auto found = services.find(service);
  if (stored && found != services.end()) {
    ownership_.onMap(stored->map, found->second);
  }
  onHoldersChanged();
}

void Controller::onGenerationAdvanced(const std::set<ServerId>& servers,
                                      base::Generation generation)
{
  ownership_.onGenerationAdvanced(servers, generation);
}

bool Controller::isEvicted(const ServerId& server) const
{
  return ownership_.isEvicted(server);
}

bool Controller::isDraining(const ServerId& server) const
{
  return ownership_.isDraining(server);
}

bool Controller::isServing(const ServerId& server) const
{
  return ownership_.isServing(server);
}

void Controller::onVmList(const std::vector<membership::ListedVm>& list)
{
  members_.updateFromList(list, context_.now());
  routesDirty_ = true;
}

void Controller::onConfig(const std::vector<PlatformObject>& objects)
{
  configuration::ConfigObjects adopted;
  for (const PlatformObject& object : objects) {
    adopted.push_back({ configuration::ObjectName(object.name), object.version, object.value });
  }
  config_.adoptFromPlatform(adopted);
  configKnown_ = true;
}

void Controller::onMaps(const std::vector<PlatformObject>& objects, bool isComplete)
{
  for (const PlatformObject& object : objects) {
    try {
      maps_.adopt(ServiceId(object.name), object.value, object.version);
    } catch (const ControlError& error) {
      context_.log(error.what());
    }
  }
  if (isComplete) {
    maps_.onAllMapsListed();
    mapsKnown_ = true;
  }
}

void Controller::onConfigAdopted()
{
  const auto snapshot = config_.snapshot();
  configKnown_ = true;
  maps_.setConfig(snapshot);
  for (const auto& [service, generation] : maps_.generations()) {
    const auto found = snapshot->services.find(service);
    if (found == snapshot->services.end()) {
      ownership_.dropService(service);
    } else {
      ownership_.onMap(maps_.find(service)->map, found->second);
    }
  }
  routesDirty_ = true;
}

Heartbeat Controller::makeHeartbeat() const
{
  Heartbeat heartbeat;
  heartbeat.from = context_.self.vm;
  heartbeat.incarnation = context_.self.incarnation;
  heartbeat.peerAddress = context_.peerAddress;
  heartbeat.domain = context_.domain;
  heartbeat.leaving = leaving_;
  heartbeat.held = ownership_.held();
  heartbeat.configDigest = config_.digest();
  heartbeat.maps = maps_.generations();
  heartbeat.quarantineDigest = quarantine_.digest();
  return heartbeat;
}

void Controller::sendHeartbeats()
{
  std::set<std::string> addresses;
  for (const membership::Peer& peer : members_.peers()) {
    if (!peer.peerAddress.empty()) {
      addresses.insert(peer.peerAddress);
    }
  }
  if (addresses.empty()) {
    addresses.insert(settings_.seedPeers.begin(), settings_.seedPeers.end());
  }
  for (const std::string& address : addresses) {
    sendHeartbeat(address);
  }
}

void Controller::sendHeartbeat(const std::string& address)
{
  if (address == context_.peerAddress) {
    return;
  }
  ++counters_.heartbeatsSent;
  context_.io.post(address,
                   "/peer/heartbeat",
                   encode(makeHeartbeat()),
                   context_.now() + kHeartbeatTimeout,
                   [this](const transport::BufferedResponse& response) {
                     if (!response.ok()) {
                       return;
                     }
                     try {
                       onHeartbeat(decodeHeartbeat(response.body));
                     } catch (const base::Error& error) {
                       context_.log(error.what());
                     }
                   });
}

void Controller::notifyPeer(const VmId& peer)
{
  if (const auto found = members_.findPeer(peer)) {
    sendHeartbeat(found->peerAddress);
  }
}

std::string Controller::answerHeartbeat(const std::string& body)
{
  onHeartbeat(decodeHeartbeat(body));
  return encode(makeHeartbeat());
}

void Controller::onHeartbeat(const Heartbeat& heartbeat)
{
  if (heartbeat.from == context_.self.vm) {
    return;
  }
  members_.onHeartbeat(heartbeat.from,
                       heartbeat.peerAddress,
                       heartbeat.domain,
                       heartbeat.incarnation,
                       heartbeat.leaving,
                       context_.now());
  ownership_.onHeartbeat(heartbeat);
  config_.onHeartbeat(heartbeat);
  const auto ours = maps_.generations();
  for (const auto& [service, generation] : heartbeat.maps) {
    const auto known = ours.find(service);
    if (known == ours.end() || known->second < generation) {
      fetchMap(heartbeat.from, service);
    }
  }
  if (heartbeat.quarantineDigest != quarantine_.digest()) {
    sendQuarantine(heartbeat.from);
  }
}

void Controller::fetchMap(const VmId& peer, const ServiceId& service)
{
  const auto found = members_.findPeer(peer);
  if (!found || !mapFetches_.insert({ peer, service }).second) {
    return;
  }
  const auto ours = maps_.find(service);
  const json body = { { "service", service.value() },
                      { "have", ours ? ours->map->generation().value() : 0 } };
  context_.io.post(found->peerAddress,
                   "/peer/map",
                   body.dump(),
                   context_.now() + kFetchTimeout,
                   [this, peer, service](const transport::BufferedResponse& response) {
                     mapFetches_.erase({ peer, service });
                     const json answer = json::parse(response.body, nullptr, false);
                     if (!response.ok() || !answer.is_object() || !answer.contains("value")) {
                       return;
                     }
                     try {
                       maps_.adopt(service,
                                   answer["value"].dump(),
                                   base::Version(answer.value("version", std::uint64_t(0))));
                     } catch (const ControlError& error) {
                       context_.log(error.what());
                     }
                   });
}

std::string Controller::answerMap(const std::string& body)
{
  const json query = json::parse(body, nullptr, false);
  if (!query.is_object() || !query.contains("service") || !query["service"].is_string()) {
    throw ControlError("malformed shard map query from a peer");
  }
  const auto stored = maps_.find(ServiceId(query["service"].get<std::string>()));
  if (!stored || stored->map->generation().value() <= query.value("have", std::uint64_t(0))) {
    return "{}";
  }
  return json{
    { "version", stored->version.value() }, { "value", placement::toJson(*stored->map) }
  }.dump();
}

std::string Controller::answerVotes(const std::string& body)
{
  return encode(ownership_.answerVotes(decodeVoteBatch(body)));
}

std::string Controller::answerPermits(const std::string& body)
{
  return encode(ownership_.answerPermits(decodePermitQuery(body)));
}

std::string Controller::answerConfig(const std::string& body)
{
  return config_.answerFetch(body);
}

void Controller::sendQuarantine(const VmId& peer)
{
  const auto found = members_.findPeer(peer);
  if (!found) {
    return;
  }
  const TimePoint now = context_.now();
  context_.io.post(found->peerAddress,
                   "/peer/quarantine",
                   encode(quarantine_.records(), now),
                   now + kFetchTimeout,
                   [](const transport::BufferedResponse&) {});
}

std::string Controller::answerQuarantine(const std::string& body)
{
  quarantine_.merge(decodeQuarantine(body, context_.now()));
  return "{}";
}

void Controller::reportLoads()
{
  std::map<VmId, LoadReport> reports;
  for (ServiceLoad& load : loads_.take(context_.now())) {
    const auto planner = maps_.plannerOf(load.service);
    const auto stored = maps_.find(load.service);
    if (!planner || !stored) {
      continue;
    }
    load.generation = stored->map->generation();
    reports[*planner].services.push_back(std::move(load));
  }
  for (auto& [planner, report] : reports) {
    report.from = context_.self.vm;
    sendLoad(planner, std::move(report));
  }
}

void Controller::sendLoad(const VmId& planner, LoadReport report)
{
  if (planner == context_.self.vm) {
    recordLoads(std::move(report));
    return;
  }
  if (const auto peer = members_.findPeer(planner)) {
    context_.io.post(peer->peerAddress,
                     "/peer/load",
                     encode(report),
                     context_.now() + kLoadInterval,
                     [](const transport::BufferedResponse&) {});
  }
}

void Controller::recordLoads(LoadReport report)
{
  for (ServiceLoad& load : report.services) {
    maps_.recordLoad(report.from, std::move(load));
  }
}

std::string Controller::answerLoad(const std::string& body)
{
  recordLoads(decodeLoadReport(body));
  return "{}";
}

void Controller::orderChange(const ChangeOrder& order)
{
  const auto holder = ownership_.holders().find(order.server);
  if (holder == ownership_.holders().end()) {
    return;
  }
  if (holder->second.holder == context_.self.vm) {
    executeOrder(order);
    return;
  }
  if (const auto peer = members_.findPeer(holder->second.holder)) {
    context_.io.post(peer->peerAddress,
                     "/peer/move",
                     encode(order),
                     context_.now() + kFetchTimeout,
                     [](const transport::BufferedResponse&) {});
  }
}

std::string Controller::answerMove(const std::string& body)
{
  executeOrder(decodeChangeOrder(body));
  return "{}";
}

void Controller::executeOrder(const ChangeOrder& order)
{
  if (ownership_.isChanging(order.server)) {
    return;
  }
  // A server lease drops its change without a ChangeResolved action when it is lost or evicts its
  // server.
  maps_.onChangeResolved(order.server);
  if (!order.moves.empty()) {
    if (const auto shards = maps_.acceptMoves(order)) {
      ownership_.startMove(order.server, *shards);
    }
    return;
  }
  const auto stored = maps_.find(order.service);
  const auto* entry = stored ? stored->map->find(order.server) : nullptr;
  if (entry == nullptr || !maps_.acceptEdits(order)) {
    return;
  }
  // A change of successors alone is written with unchanged voters: it needs the same floor as a
  // change of voters.
  ownership_.startVoterChange(order.server, order.voters.empty() ? entry->voters : order.voters);
}

void Controller::beginLeaving()
{
  leaving_ = true;
  members_.setSelfLeaving();
  heartbeatDue_ = true;
}

bool Controller::hasLeft() const
{
  return !ownership_.holdsAny();
}

bool Controller::isReady() const
{
  return routesReady_ && !leaving_;
}

bool Controller::knowsAllRoutes() const
{
  if (!configKnown_) {
    return false;
  }
  // A service has no map before it has its first server. Once all maps have been listed, a service
  // without a map must not delay the readiness of this VM for the other services.
  if (mapsKnown_) {
    return true;
  }
  const auto generations = maps_.generations();
  const auto snapshot = config_.snapshot();
  return std::all_of(snapshot->services.begin(), snapshot->services.end(), [&](const auto& entry) {
    return generations.contains(entry.first);
  });
}

bool Controller::acceptsNewWork(const ServerId& server, const base::DomainId& domain) const
{
  const auto listed = members_.servers().find(server);
  const bool listedLeaving =
    listed != members_.servers().end() && listed->second.state == membership::ListedState::Leaving;
  return !listedLeaving && !ownership_.isDraining(server) &&
         config_.snapshot()->domainInService(domain);
}

router::ServerRoute Controller::routeOf(const ServiceId& service,
                                        const placement::MapServer& server) const
{
  router::ServerRoute route;
  route.id = server.id;
  route.service = service;
  route.address = server.entry.address;
  route.domain = server.entry.domain;
  const auto holder = ownership_.holders().find(server.id);
  if (holder == ownership_.holders().end()) {
    return route;
  }
  route.holder = holder->second.holder;
  route.term = holder->second.term;
  route.evicted = holder->second.kind == LeaseKind::Evicted;
  if (route.holder != context_.self.vm) {
    if (const auto peer = members_.findPeer(route.holder)) {
      route.holderAddress = peer->peerAddress;
    }
  }
  return route;
}

void Controller::publishRoutes()
{
  routesDirty_ = false;
  const TimePoint now = context_.now();
  const auto snapshot = config_.snapshot();
  std::map<ServiceId, router::ServiceRoute> services;
  std::set<ServerId> leaving;
  for (const auto& [service, config] : snapshot->services) {
    const auto stored = maps_.find(service);
    if (!stored) {
      continue;
    }
    router::ServiceRoute& route = services[service];
    route.map = stored->map;
    for (const placement::MapServer& server : stored->map->servers()) {
      router::ServerRoute serverRoute = routeOf(service, server);
      if (!config.keyed && !ownership_.isServing(server.id)) {
        serverRoute.available = false;
      }
      if (!acceptsNewWork(server.id, server.entry.domain)) {
        leaving.insert(server.id);
        const TimePoint since = leavingSince_.try_emplace(server.id, now).first->second;
        serverRoute.available = config.keyed && now - since < kLeaveGracePeriod;
      }
      route.servers[server.id] = std::move(serverRoute);
    }
  }
  std::erase_if(leavingSince_, [&](const auto& entry) { return !leaving.contains(entry.first); });
  routing_.publish(std::make_shared<const router::RoutingTable>(snapshot, std::move(services)));
  // Report readiness only after publishing, when the traffic threads see the routes.
  routesReady_ = routesReady_ || knowsAllRoutes();
}

} // namespace sycamore::control

#include <control/MapController.h>

#include "LoadPlanning.h"

#include <control/ControlError.h>

#include <placement/Failover.h>
#include <placement/MapServerList.h>
#include <placement/PlacementPlanner.h>
#include <placement/PlanApplication.h>
#include <placement/PlannerElection.h>
#include <placement/ShardMapBuilder.h>
#include <placement/ShardMapCodec.h>
#include <placement/VoterChoice.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamore::control {

using base::Generation;
using base::ServerId;
using base::ServiceId;
using base::TimePoint;
using base::Version;
using nlohmann::json;
using ownership::ChangeKind;

namespace {

constexpr base::milliseconds kPlanInterval{ 250 };
constexpr base::milliseconds kPlatformTimeout{ 1000 };
// Delay before a failed write is repeated.
constexpr base::milliseconds kRepeatInterval{ 50 };
// A voter that has been unresponsive for less than this is probably restarting, and is kept.
constexpr std::chrono::seconds kVoterTimeout{ 10 };
// If a majority of a server's voters has been missing from the platform's VM list for this long,
// the voters are replaced without the agreement of that majority.
constexpr std::chrono::seconds kForcedVoterChangeDelay{ 30 };
constexpr int kConflict = 409;

placement::VoterMode voterMode(const configuration::ServiceConfig& config)
{
  return config.votes == configuration::VoteMode::Move ? placement::VoterMode::Move
                                                       : placement::VoterMode::Hold;
}

std::size_t countUsable(const std::vector<placement::ServerView>& views)
{
  return static_cast<std::size_t>(std::ranges::count_if(views, [](const auto& view) {
    return view.state == placement::ServerState::Live || view.state == placement::ServerState::Cold;
  }));
}

// Applies successor changes and merges. No server loses a shard by them.
void applyEdits(placement::ShardMapBuilder& builder,
                const placement::ShardMap& map,
                const placement::Plan& edits)
{
  for (const placement::SuccessorChange& change : edits.successorChanges) {
    builder.assign(change.shard, map.owner(change.shard), change.successor);
  }
  for (const base::ShardId shard : edits.merges) {
    builder.removeOverride(shard);
  }
}

} // namespace

struct MapController::ServiceState
{
  explicit ServiceState(const configuration::ServiceConfig& serviceConfig)
    : config(serviceConfig)
    , load(serviceConfig.shards)
  {
  }

  configuration::ServiceConfig config;
  std::shared_ptr<const placement::ShardMap> map;
  Version version;
  placement::OwnershipHistory history;
  LoadPlanning load;
  // Requested writes for the servers whose leases this VM holds.
  std::map<ServerId, ownership::WriteMap> pendingWrites;
  // Moves that belong to the pending writes of kind Move.
  std::map<ServerId, std::vector<placement::Move>> plannedMoves;
  // Latest moves that this VM ordered from lease holders, kept to record their reasons once they
  // take effect.
  std::map<base::ShardId, placement::Move> orderedMoves;
  // Successor changes and merges that are written together with a pending write of kind Voters.
  std::map<ServerId, placement::Plan> edits;
  std::optional<Generation> advanceAbove;
  // Servers whose leases need a newer map, and those of them that requested one before the write
  // in progress began. Only the latter may use the written generation as a proof.
  std::set<ServerId> advanceRequesters;
  std::set<ServerId> advanceInWrite;
  bool writing = false;
  TimePoint writeAt;
  TimePoint planAt;
};

MapController::MapController(ControlContext& context, MapEvents& events)
  : context_(context)
  , events_(events)
  , config_(std::make_shared<const configuration::ConfigSnapshot>())
  , random_(std::random_device{}())
{
}

MapController::~MapController() = default;

MapController::ServiceState* MapController::findState(const ServiceId& service) const
{
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

MapController::ServiceState& MapController::stateOf(const ServiceId& service)
{
  auto& state = services_[service];
  if (!state) {
    configuration::ServiceConfig unknown;
    unknown.service = service;
    state = std::make_unique<ServiceState>(unknown);
  }
  return *state;
}

void MapController::setConfig(std::shared_ptr<const configuration::ConfigSnapshot> config)
{
  config_ = std::move(config);
  for (const auto& [service, serviceConfig] : config_->services) {
    ServiceState& state = stateOf(service);
    if (state.config.shards != serviceConfig.shards) {
      state.load = LoadPlanning(serviceConfig.shards);
    }
    state.config = serviceConfig;
  }
}

void MapController::tick(bool platformReachable)
{
  if (!platformReachable) {
    return;
  }
  const TimePoint now = context_.now();
  for (const auto& [service, state] : services_) {
    if (state->writing || now < state->writeAt) {
      continue;
    }
    continueWrites(*state);
    if (!state->writing && now >= state->planAt) {
      state->planAt = now + kPlanInterval;
      planService(*state);
    }
  }
}

bool MapController::adopt(const ServiceId& service, const std::string& value, Version version)
{
  std::optional<placement::ShardMap> map;
  try {
    map = placement::shardMapFromJson(json::parse(value));
  } catch (const std::exception& error) {
    throw ControlError("malformed shard map of " + service.value() + ": " + error.what());
  }
  ServiceState& state = stateOf(service);
  if (state.map && map->generation() <= state.map->generation()) {
    state.version = std::max(state.version, version);
    return false;
  }
  install(state, std::move(*map), version);
  return true;
}

void MapController::onAllMapsListed()
{
  allMapsListed_ = true;
}

void MapController::install(ServiceState& state, placement::ShardMap map, Version version)
{
  auto installed = std::make_shared<const placement::ShardMap>(std::move(map));
  if (state.map) {
    state.history.onMapAdopted(*state.map, *installed, context_.now());
    recordMoveReasons(state, *installed);
    state.load.mapChanged(*state.map, *installed, context_.now());
  }
  state.map = installed;
  state.version = std::max(state.version, version);
  ++context_.counters.mapsAdopted;
  context_.log("adopted shard map of " + installed->service().value() + ", written in generation " +
               std::to_string(installed->generation().value()) + " by " + installed->writer());
  std::erase_if(state.pendingWrites,
                [&](const auto& entry) { return entry.second.base < installed->generation(); });
  if (state.advanceAbove && *state.advanceAbove < installed->generation()) {
    state.advanceAbove.reset();
  }
  events_.onMapAdopted(installed->service());
}

void MapController::recordMoveReasons(ServiceState& state, const placement::ShardMap& next)
{
  std::vector<placement::Move> applied;
  for (const auto& [shard, move] : state.orderedMoves) {
    if (next.contains(shard) && next.owner(shard) == move.to) {
      applied.push_back(move);
    }
  }
  for (const auto& [server, change] : state.pendingWrites) {
    if (change.kind != ChangeKind::Failover) {
      continue;
    }
    for (const base::ShardId shard : state.map->shardsOf(server)) {
      if (next.contains(shard) && next.owner(shard) != server) {
        applied.push_back(
          { shard, server, next.owner(shard), {}, placement::MoveReason::ServerLost });
      }
    }
  }
  state.history.recordReasons(applied);
  // The holder refuses an order for the old generation, unless it has already started the move. A
  // move is therefore kept as long as the shard still has its previous owner.
  std::erase_if(state.orderedMoves, [&](const auto& entry) {
    return !next.contains(entry.first) || next.owner(entry.first) != entry.second.from;
  });
}

void MapController::requestWrite(const ServiceId& service,
                                 const ServerId& server,
                                 const ownership::WriteMap& change)
{
  stateOf(service).pendingWrites[server] = change;
}

void MapController::advanceGeneration(const ServiceId& service,
                                      const ServerId& server,
                                      Generation base)
{
  ServiceState& state = stateOf(service);
  if (!state.map || state.map->generation() <= base) {
    state.advanceAbove = std::max(state.advanceAbove.value_or(Generation()), base);
    state.advanceRequesters.insert(server);
  }
}

void MapController::onChangeResolved(const ServerId& server)
{
  for (const auto& [service, state] : services_) {
    state->pendingWrites.erase(server);
    state->plannedMoves.erase(server);
    state->edits.erase(server);
  }
}

std::optional<ownership::ShardSet> MapController::acceptMoves(const ChangeOrder& order)
{
  ServiceState* state = findState(order.service);
  if (state == nullptr || !state->map || state->map->generation() != order.generation) {
    return std::nullopt;
  }
  std::vector<placement::Move> moves;
  ownership::ShardSet shards;
  for (const MoveOrder& move : order.moves) {
    const bool valid =
      state->map->contains(move.shard) && state->map->owner(move.shard) == order.server;
    if (!valid) {
      return std::nullopt;
    }
    placement::Move planned;
    planned.shard = move.shard;
    planned.from = order.server;
    planned.to = move.to;
    if (!move.successor.value().empty()) {
      planned.successor = move.successor;
    }
    moves.push_back(planned);
    shards.insert(move.shard);
  }
  state->plannedMoves[order.server] = std::move(moves);
  return shards;
}

bool MapController::acceptEdits(const ChangeOrder& order)
{
  ServiceState* state = findState(order.service);
  if (state == nullptr || !state->map || state->map->generation() != order.generation) {
    return false;
  }
  placement::Plan edits;
  for (const SuccessorOrder& change : order.successors) {
    if (!state->map->contains(change.shard) || state->map->owner(change.shard) != order.server) {
      return false;
    }
    placement::SuccessorChange planned{ change.shard, std::nullopt };
    if (!change.successor.value().empty()) {
      planned.successor = change.successor;
    }
    edits.successorChanges.push_back(planned);
  }
  for (const base::ShardId shard : order.merges) {
    if (state->map->overrideAt(shard) == nullptr || state->map->owner(shard) != order.server) {
      return false;
    }
    edits.merges.push_back(shard);
  }
  state->edits[order.server] = std::move(edits);
  return true;
}

std::optional<StoredMap> MapController::find(const ServiceId& service) const
{
  const ServiceState* state = findState(service);
  if (state == nullptr || !state->map) {
    return std::nullopt;
  }
  return StoredMap{ state->map, state->version };
}

std::map<ServiceId, Generation> MapController::generations() const
{
  std::map<ServiceId, Generation> all;
  for (const auto& [service, state] : services_) {
    if (state->map) {
      all[service] = state->map->generation();
    }
  }
  return all;
}

const placement::OwnershipHistory* MapController::historyOf(const ServiceId& service) const
{
  const ServiceState* state = findState(service);
  return state == nullptr ? nullptr : &state->history;
}

std::vector<placement::Move> MapController::plannedMoves(const ServiceId& service) const
{
  std::vector<placement::Move> moves;
  if (const ServiceState* state = findState(service)) {
    for (const auto& [server, planned] : state->plannedMoves) {
      moves.insert(moves.end(), planned.begin(), planned.end());
    }
  }
  return moves;
}

void MapController::recordLoad(const base::VmId& from, ServiceLoad load)
{
  if (ServiceState* state = findState(load.service)) {
    state->load.recordReport(from, std::move(load), context_.now());
  }
}

std::optional<base::VmId> MapController::plannerOf(const ServiceId& service) const
{
  auto vms = entryVms();
  for (auto& vm : vms) {
    vm.isLive = vm.isLive && context_.members.isAlive(vm.id, context_.now());
  }
  return placement::electPlanner(service, vms);
}

std::vector<placement::ServerView> MapController::listedServers(const ServiceState& state) const
{
  std::vector<placement::ServerView> views;
  for (const auto& [id, listed] : context_.members.servers()) {
    if (listed.service != state.config.service) {
      continue;
    }
    placement::ServerView view;
    view.id = id;
    view.address = listed.address;
    view.domain = listed.domain;
    if (listed.state == membership::ListedState::Leaving) {
      view.state = placement::ServerState::Leaving;
    }
    views.push_back(view);
  }
  return views;
}

std::vector<placement::ServerView> MapController::usableServers(const ServiceState& state) const
{
  auto views = listedServers(state);
  for (placement::ServerView& view : views) {
    // A server that accepts no grants gets no shards, even if the list still shows it as live.
    if (events_.isEvicted(view.id) || !events_.isServing(view.id)) {
      view.state = placement::ServerState::Lost;
    } else if (events_.isDraining(view.id)) {
      view.state = placement::ServerState::Leaving;
    }
  }
  if (state.map) {
    addUnlistedLost(*state.map, views);
  }
  return views;
}

// The planner keeps servers that are missing from the list, since the list lags behind. A server
// that is also unresponsive is lost: as a successor it would leave keys unserved after the next
// loss.
void MapController::addUnlistedLost(const placement::ShardMap& map,
                                    std::vector<placement::ServerView>& views) const
{
  for (const placement::MapServer& server : map.servers()) {
    const bool listed = std::any_of(
      views.begin(), views.end(), [&](const auto& view) { return view.id == server.id; });
    if (listed || events_.isServing(server.id)) {
      continue;
    }
    placement::ServerView view;
    view.id = server.id;
    view.address = server.entry.address;
    view.domain = server.entry.domain;
    view.state = placement::ServerState::Lost;
    views.push_back(view);
  }
}

std::vector<placement::EntryVm> MapController::entryVms() const
{
  const TimePoint now = context_.now();
  std::vector<placement::EntryVm> all;
  all.push_back({ context_.self.vm, context_.domain, !context_.members.isSelfLeaving() });
  for (const membership::Peer& peer : context_.members.peers()) {
    const bool recent = now - peer.lastHeartbeatAt < kVoterTimeout;
    const bool live = !peer.leaving && (recent || context_.members.isAlive(peer.id, now));
    all.push_back({ peer.id, peer.domain, live });
  }
  return all;
}

std::vector<base::DomainId> MapController::domainsOut() const
{
  std::vector<base::DomainId> out;
  for (const auto& [domain, config] : config_->domains) {
    if (!config.inService) {
      out.push_back(domain);
    }
  }
  return out;
}

std::optional<placement::ShardMap> MapController::changedMap(
  const ServiceState& state,
  const ServerId& server,
  const ownership::WriteMap& change) const
{
  const std::string writer = const_cast<MapController*>(this)->writerToken();
  const placement::ShardMap& map = *state.map;
  if (change.kind == ChangeKind::Voters) {
    placement::ServerEntry entry = *map.find(server);
    entry.voters = change.voters;
    placement::ShardMapBuilder builder(map);
    builder.setServer(server, entry)
      .setGeneration(Generation(map.generation().value() + 1))
      .setWriter(writer);
    const auto edits = state.edits.find(server);
    if (edits != state.edits.end()) {
      applyEdits(builder, map, edits->second);
    }
    return builder.build();
  }
  if (change.kind == ChangeKind::Failover) {
    const auto views = usableServers(state);
    const auto out = domainsOut();
    const auto plan = placement::planFailover(map, server, views, out);
    return placement::applyPlan(map, plan, writer);
  }
  const auto planned = state.plannedMoves.find(server);
  if (planned == state.plannedMoves.end()) {
    return std::nullopt;
  }
  placement::Plan plan;
  for (const placement::Move& move : planned->second) {
    if (change.shards.contains(move.shard)) {
      plan.moves.push_back(move);
    }
  }
  return placement::applyPlan(map, plan, writer);
}

void MapController::continueWrites(ServiceState& state)
{
  if (state.advanceAbove) {
    readBack(state, true);
    return;
  }
  if (!state.map) {
    return;
  }
  for (auto it = state.pendingWrites.begin(); it != state.pendingWrites.end(); ++it) {
    if (it->second.base != state.map->generation() || state.map->find(it->first) == nullptr) {
      continue;
    }
    try {
      if (auto changed = changedMap(state, it->first, it->second)) {
        write(state, std::move(*changed), false);
        return;
      }
    } catch (const base::Error& error) {
      context_.log("can't apply a change to the shard map of " + state.config.service.value() +
                   ": " + error.what());
      state.writeAt = context_.now() + kPlanInterval;
      return;
    }
  }
}

void MapController::write(ServiceState& state, placement::ShardMap map, bool isAdvance)
{
  state.writing = true;
  ++context_.counters.mapWrites;
  ++context_.counters.platformCalls;
  auto written = std::make_shared<placement::ShardMap>(std::move(map));
  transport::ClientRequest request;
  request.method = "PUT";
  request.path = "/objects/shardmap/" + state.config.service.value() +
                 "?if_version=" + std::to_string(state.version.value());
  request.body = placement::toJson(*written).dump();
  request.headers.emplace_back("Content-Type", "application/json");
  context_.io.send(context_.platformAddress,
                   std::move(request),
                   context_.now() + kPlatformTimeout,
                   [this, service = state.config.service, written, isAdvance](
                     const auto& response) { onWritten(service, written, isAdvance, response); });
}

void MapController::onWritten(const ServiceId& service,
                              const std::shared_ptr<placement::ShardMap>& written,
                              bool isAdvance,
                              const transport::BufferedResponse& response)
{
  ServiceState& state = stateOf(service);
  state.writing = false;
  state.writeAt = context_.now() + kRepeatInterval;
  const json body = json::parse(response.body, nullptr, false);
  if (response.ok() && body.is_object() && body.contains("version")) {
    state.writeAt = context_.now();
    const Generation generation = written->generation();
    if (!state.map || state.map->generation() < generation) {
      install(state, std::move(*written), Version(body["version"].get<std::uint64_t>()));
    }
    if (isAdvance) {
      events_.onGenerationAdvanced(std::exchange(state.advanceInWrite, {}), generation);
    }
    return;
  }
  if (response.result == transport::ExchangeResult::Complete && response.head.status == kConflict &&
      body.is_object() && body.contains("value")) {
    ++context_.counters.mapConflicts;
    state.writeAt = context_.now();
    adopt(service, body["value"].dump(), Version(body.value("version", std::uint64_t(0))));
    return;
  }
  // The outcome of the write is unknown: it may have taken effect. Read the map to find out.
  context_.log("no answer to the write of generation " +
               std::to_string(written->generation().value()) + " of the shard map of " +
               service.value());
  ++context_.counters.platformFailures;
  readBack(state, false);
}

void MapController::readBack(ServiceState& state, bool thenAdvance)
{
  state.writing = true;
  ++context_.counters.platformCalls;
  transport::ClientRequest request;
  request.method = "GET";
  request.path = "/objects/shardmap/" + state.config.service.value();
  context_.io.send(context_.platformAddress,
                   std::move(request),
                   context_.now() + kPlatformTimeout,
                   [this, service = state.config.service, thenAdvance](const auto& response) {
                     onRead(service, thenAdvance, response);
                   });
}

void MapController::onRead(const ServiceId& service,
                           bool thenAdvance,
                           const transport::BufferedResponse& response)
{
  ServiceState& state = stateOf(service);
  state.writing = false;
  state.writeAt = context_.now() + kRepeatInterval;
  const json body = json::parse(response.body, nullptr, false);
  if (!response.ok() || !body.is_object() || !body.contains("value")) {
    ++context_.counters.platformFailures;
    return;
  }
  const Version version(body.value("version", std::uint64_t(0)));
  const bool newer = adopt(service, body["value"].dump(), version);
  if (thenAdvance && !newer && state.advanceAbove && state.map) {
    state.version = version;
    placement::ShardMapBuilder builder(*state.map);
    builder.setGeneration(Generation(state.map->generation().value() + 1)).setWriter(writerToken());
    state.advanceInWrite = std::exchange(state.advanceRequesters, {});
    write(state, builder.build(), true);
  }
}

void MapController::planService(ServiceState& state)
{
  if (!config_->services.contains(state.config.service)) {
    return;
  }
  const TimePoint now = context_.now();
  if (plannerOf(state.config.service) != context_.self.vm) {
    return;
  }
  try {
    if (!state.map) {
      createInitialMap(state);
      return;
    }
    const auto views = listedServers(state);
    auto updated = placement::updateServerList(
      *state.map, views, entryVms(), voterMode(state.config), writerToken());
    if (updated) {
      write(state, std::move(*updated), false);
      return;
    }
    if (repairVoters(state)) {
      return;
    }
    state.load.refresh(*state.map, countUsable(views), now);
    placement::Plan plan = nextPlan(state);
    orderChanges(state, plan);
    // Lease holders write the other changes of the plan. A split changes neither owner nor
    // successor, so the planner may write it.
    plan.moves.clear();
    plan.successorChanges.clear();
    plan.merges.clear();
    if (!plan.empty()) {
      write(state, placement::applyPlan(*state.map, plan, writerToken()), false);
    }
  } catch (const base::Error& error) {
    context_.log("can't plan the placement of " + state.config.service.value() + ": " +
                 error.what());
    state.planAt = now + std::chrono::seconds(2);
  }
}

void MapController::createInitialMap(ServiceState& state)
{
  // Until all maps have been listed, the service may have a map that this VM has not read yet.
  if (!allMapsListed_ || listedServers(state).empty()) {
    return;
  }
  write(state,
        placement::createInitialMap(state.config.service,
                                    state.config.shards,
                                    listedServers(state),
                                    entryVms(),
                                    voterMode(state.config),
                                    writerToken()),
        false);
}

placement::Plan MapController::nextPlan(const ServiceState& state) const
{
  const auto views = usableServers(state);
  const auto out = domainsOut();
  auto options = placement::PlannerOptions::forShardCount(state.config.shards);
  const auto& weights = state.config.weights;
  options.churnWeight = weights.churn / std::max(1e-9, weights.churn + weights.imbalance);
  const auto& keys = state.load.hotKeys();
  const placement::PlanRequest request{ *state.map,    views,
                                        out,           state.load.loads(),
                                        state.history, keys.hot,
                                        keys.cooled,   state.load.knowsLoads() };
  return placement::PlacementPlanner(options).plan(request, context_.now());
}

std::optional<placement::Plan> MapController::dryRun(const ServiceId& service) const
{
  const ServiceState* state = findState(service);
  if (state == nullptr || !state->map) {
    return std::nullopt;
  }
  return nextPlan(*state);
}

void MapController::orderChanges(ServiceState& state, const placement::Plan& plan)
{
  std::map<ServerId, ChangeOrder> orders;
  const auto orderFor = [&](const ServerId& server) -> ChangeOrder& {
    ChangeOrder& order = orders[server];
    order.service = state.config.service;
    order.server = server;
    order.generation = state.map->generation();
    return order;
  };
  for (const placement::Move& move : plan.moves) {
    if (move.reason == placement::MoveReason::ServerLost) {
      // The holder that evicted the server writes these moves.
      continue;
    }
    state.orderedMoves[move.shard] = move;
    orderFor(move.from).moves.push_back(
      { move.shard, move.to, move.successor.value_or(ServerId()) });
  }
  // Permits name successors, so only the lease holder may change successors. The same holds for a
  // merge, which gives a key the successor of its shard.
  for (const placement::SuccessorChange& change : plan.successorChanges) {
    orderFor(state.map->owner(change.shard))
      .successors.push_back({ change.shard, change.successor.value_or(ServerId()) });
  }
  for (const base::ShardId shard : plan.merges) {
    orderFor(state.map->owner(shard)).merges.push_back(shard);
  }
  for (const auto& [server, order] : orders) {
    events_.orderChange(order);
  }
}

bool MapController::repairVoters(ServiceState& state)
{
  const TimePoint now = context_.now();
  for (const auto& server : state.map->servers()) {
    const auto& current = server.entry.voters;
    auto wanted = placement::chooseVoters(
      server.id, server.entry.domain, voterMode(state.config), current, entryVms());
    if (wanted == current || wanted.empty()) {
      continue;
    }
    const auto missingVoters =
      std::count_if(current.begin(), current.end(), [&](const base::VmId& vm) {
        return context_.members.isGone(vm, kForcedVoterChangeDelay, now);
      });
    if (2 * static_cast<std::size_t>(missingVoters) > current.size()) {
      context_.log("replacing the voters of " + server.id.value() +
                   " without the agreement of their majority");
      ownership::WriteMap change;
      change.kind = ChangeKind::Voters;
      change.base = state.map->generation();
      change.voters = wanted;
      write(state, *changedMap(state, server.id, change), false);
      return true;
    }
    ChangeOrder order;
    order.service = state.config.service;
    order.server = server.id;
    order.generation = state.map->generation();
    order.voters = wanted;
    events_.orderChange(order);
  }
  return false;
}

std::string MapController::writerToken()
{
  return context_.self.vm.value() + "/" + std::to_string(random_());
}

} // namespace sycamore::control

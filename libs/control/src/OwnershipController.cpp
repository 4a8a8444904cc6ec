#include <control/OwnershipController.h>

#include "ManagedServer.h"
#include "ServiceShards.h"

#include <control/PeerCodec.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sycamore::control {

using base::Duration;
using base::ServerId;
using base::TimePoint;
using base::VmId;
using nlohmann::json;
using ownership::LeaseKind;
using ownership::LeaseRole;

namespace {

// A vote that is answered later would expire before it could be used.
constexpr base::milliseconds kVoteTimeout{ 250 };
// A stalled server may answer as late as this. Its answer still carries a useful timestamp.
constexpr base::milliseconds kGrantTimeout{ 400 };
constexpr unsigned kMaxGrantsInFlight = 4;
constexpr base::milliseconds kReleaseWaitTimeout{ 80 };
constexpr base::milliseconds kReleaseTimeout{ 300 };
constexpr base::milliseconds kPermitInterval{ 50 };
constexpr base::milliseconds kPermitTimeout{ 150 };
// A server that has accepted no grant for this long gets no new shards.
constexpr base::milliseconds kServingTimeout{ 600 };
// A holder that has sent no heartbeat for this long is removed from the routes.
constexpr base::milliseconds kHolderTimeout{ 1500 };

admission::ReportedState reportedState(const std::string& text)
{
  if (text == "cold") {
    return admission::ReportedState::Cold;
  }
  return text == "draining" ? admission::ReportedState::Draining : admission::ReportedState::Warm;
}

std::string describeWithheld(const ownership::ShardSet& withheld)
{
  return withheld.empty()
           ? ""
           : " except " + withheld.text() + ", which a write of unknown outcome may have moved";
}

// Returns the longest deadline of the service's methods. After this time no request that a previous
// holder sent is still running.
base::Duration longestDeadline(const configuration::ServiceConfig& config)
{
  base::Duration longest{};
  for (const auto& [name, method] : config.methods) {
    longest = std::max<base::Duration>(longest, method.deadline);
  }
  return longest;
}

admission::ServerGateSettings gateSettings(const configuration::ServiceConfig& config)
{
  admission::ServerGateSettings settings;
  settings.slots = config.slotsPerServer;
  settings.queue.maxLength = config.limits.queueLength;
  settings.coldStart.coldLimit = config.coldStart.limit;
  settings.coldStart.rampDuration = config.coldStart.ramp;
  return settings;
}

} // namespace

OwnershipController::OwnershipController(ControlContext& context,
                                         OwnershipEvents& events,
                                         ownership::LeaseTimings timings,
                                         router::DispatcherTable& dispatchers,
                                         router::QuarantineRegistry& quarantine)
  : context_(context)
  , events_(events)
  , timings_(timings)
  , dispatchers_(dispatchers)
  , quarantine_(quarantine)
  , voter_(context.self, timings, context.now())
{
}

OwnershipController::~OwnershipController() = default;

OwnershipController::Managed* OwnershipController::find(const ServerId& server) const
{
  const auto found = managed_.find(server);
  return found == managed_.end() ? nullptr : found->second.get();
}

void OwnershipController::tick(bool platformReachable)
{
  const TimePoint now = context_.now();
  for (const auto& [server, managed] : managed_) {
    managed->lease.setPlatformReachable(platformReachable);
    perform(*managed, managed->lease.tick(now));
  }
  for (auto& request : voter_.stateRequests(now)) {
    outgoing_[request.to].stateRequests.push_back(request);
  }
  permits_.dropExpired(now);
  if (now >= nextPermits_) {
    nextPermits_ = now + kPermitInterval;
    requestPermits();
  }
  std::erase_if(holders_, [&](const auto& entry) {
    return entry.second.holder != context_.self.vm && now - entry.second.updatedAt > kHolderTimeout;
  });
  flushVotes();
}

void OwnershipController::onMap(std::shared_ptr<const placement::ShardMap> map,
                                const configuration::ServiceConfig& config)
{
  const TimePoint now = context_.now();
  services_[config.service] = std::make_unique<ServiceShards>(map);
  for (const auto& server : map->servers()) {
    ownership::ServerRow row = rowOf(*map, server.id);
    row.checksTokens = config.serversCheckTokens;
    const bool isVoter =
      std::find(row.voters.begin(), row.voters.end(), context_.self.vm) != row.voters.end();
    Managed* managed = find(server.id);
    if (managed == nullptr && isVoter) {
      auto created = std::make_unique<Managed>(context_.self, timings_, row, now);
      created->server = server.id;
      created->service = config.service;
      managed = managed_.emplace(server.id, std::move(created)).first->second.get();
    }
    if (managed != nullptr) {
      managed->address = server.entry.address;
      managed->domain = server.entry.domain;
      managed->config = config;
      perform(*managed, managed->lease.onMap(row, now));
    }
  }
  for (const auto& [server, managed] : managed_) {
    if (managed->service == config.service && map->find(server) == nullptr) {
      ownership::ServerRow row = rowOf(*map, server);
      row.checksTokens = config.serversCheckTokens;
      perform(*managed, managed->lease.onMap(row, now));
    }
  }
  flushVotes();
}

void OwnershipController::dropService(const base::ServiceId& service)
{
  for (auto it = managed_.begin(); it != managed_.end();) {
    if (it->second->service != service) {
      ++it;
      continue;
    }
    dispatchers_.remove(it->first);
    holders_.erase(it->first);
    it = managed_.erase(it);
  }
  services_.erase(service);
}

void OwnershipController::onGenerationAdvanced(const std::set<ServerId>& servers,
                                               base::Generation generation)
{
  for (const ServerId& server : servers) {
    if (Managed* managed = find(server)) {
      managed->lease.onGenerationAdvanced(generation, context_.now());
    }
  }
}

void OwnershipController::perform(Managed& managed, const ownership::LeaseActions& actions)
{
  for (const auto& action : actions) {
    std::visit([&](const auto& typed) { act(managed, typed); }, action);
  }
}

void OwnershipController::act(Managed& managed, const ownership::SendVote& action)
{
  ++context_.counters.voteRequestsSent;
  if (action.to != context_.self.vm) {
    outgoing_[action.to].requests.push_back(action.request);
    return;
  }
  const TimePoint now = context_.now();
  const auto reply = voter_.vote(action.request, now);
  perform(managed, managed.lease.onVoteReply(reply, now));
}

void OwnershipController::act(Managed& managed, const ownership::SendGrant& action)
{
  if (managed.grantsInFlight >= kMaxGrantsInFlight) {
    return;
  }
  const TimePoint now = context_.now();
  const auto request = managed.lease.grantToSend(action.term, permittedFor(managed), now);
  if (!request) {
    return;
  }
  json body = {
    { "holder", request->holder.vm.value() },
    { "term", request->term.value() },
    { "generation", request->generation.value() },
    { "echo_ns", request->echo ? request->echo->time_since_epoch().count() : 0 },
    { "echo_incarnation", request->echoIncarnation.value() },
    { "ttl_ms", std::chrono::duration_cast<std::chrono::milliseconds>(request->lifetime).count() },
    { "service", managed.service.value() },
    { "set_digest", request->setDigest }
  };
  if (request->shards) {
    body["shards"] = request->shards->text();
  }
  ++managed.grantsInFlight;
  ++context_.counters.grantsSent;
  context_.io.post(managed.address,
                   "/sycamore/grant",
                   body.dump(),
                   now + kGrantTimeout,
                   [this, server = managed.server, sent = *request, now](const auto& response) {
                     onGrantAnswer(server, sent, now, response);
                   });
}

void OwnershipController::onGrantAnswer(const ServerId& server,
                                        const ownership::GrantRequest& sent,
                                        TimePoint sentAt,
                                        const transport::BufferedResponse& response)
{
  Managed* managed = find(server);
  if (managed == nullptr) {
    return;
  }
  --managed->grantsInFlight;
  const json body = json::parse(response.body, nullptr, false);
  if (!response.ok() || !body.is_object()) {
    ++context_.counters.grantsUnanswered;
    return;
  }
  ownership::GrantReply reply;
  reply.server = server;
  reply.term = sent.term;
  reply.accepted = body.value("accepted", false);
  reply.serverTime = TimePoint(Duration(body.value("server_time_ns", std::int64_t(0))));
  reply.incarnation = base::Incarnation(body.value("incarnation", std::uint64_t(0)));
  reply.highestTerm = base::Term(body.value("highest_term", std::uint64_t(0)));
  const std::string reason = body.value("reason", "");
  reply.reason = reply.accepted            ? ownership::GrantReason::Accepted
                 : reason == "stale-term"  ? ownership::GrantReason::StaleTerm
                 : reason == "unknown-set" ? ownership::GrantReason::UnknownDigest
                                           : ownership::GrantReason::Expired;
  if (!reply.accepted) {
    ++context_.counters.grantsRefused;
  }
  perform(*managed, managed->lease.onGrantReply(reply, context_.now()));
  recordServerReport(*managed,
                     { reply.incarnation, reportedState(body.value("state", "warm")), sentAt });
  if (reply.accepted) {
    reservePreviousHolderSlots(*managed, body.value("in_flight", 0U));
    updateGrantView(*managed, sent);
  }
  flushVotes();
}

void OwnershipController::reservePreviousHolderSlots(Managed& managed, unsigned inFlight)
{
  if (!managed.dispatcher) {
    return;
  }
  const TimePoint now = context_.now();
  if (!managed.previousHolderInFlight) {
    // This VM has dispatched nothing in this term yet, so all requests in flight are from previous
    // holders.
    managed.previousHolderInFlight = inFlight;
    managed.previousHolderUntil = now + longestDeadline(managed.config);
  } else if (*managed.previousHolderInFlight == 0) {
    return;
  }
  managed.previousHolderInFlight =
    now < managed.previousHolderUntil ? std::min(*managed.previousHolderInFlight, inFlight) : 0;
  const unsigned slots = managed.config.slotsPerServer;
  managed.dispatcher->setSlots(slots - std::min(slots, *managed.previousHolderInFlight));
}

void OwnershipController::updateGrantView(Managed& managed, const ownership::GrantRequest& granted)
{
  if (!managed.dispatcher || granted.term != managed.lease.term()) {
    return;
  }
  const bool wasServing = isServing(managed.server);
  managed.lastAcceptedAt = context_.now();
  if (!wasServing) {
    events_.onHoldersChanged();
  }
  if (granted.shards) {
    managed.acceptedShards = *granted.shards;
  }
  auto view = std::make_shared<router::GrantView>();
  view->term = granted.term;
  view->generation = granted.generation;
  view->shards = managed.acceptedShards;
  // Time until which the votes allow dispatching. Each renewal extends it.
  view->validUntil = managed.lease.mayDispatchUntil();
  managed.dispatcher->setGrant(std::move(view));
}

void OwnershipController::recordServerReport(Managed& managed,
                                             const admission::ServerReport& report)
{
  if (managed.incarnation && *managed.incarnation != report.incarnation) {
    reportCrash(managed, *managed.incarnation);
  }
  managed.incarnation = report.incarnation;
  if (managed.dispatcher) {
    managed.dispatcher->onServerReport(report);
  }
  const bool drains = report.state == admission::ReportedState::Draining;
  if (drains && draining_.insert(managed.server).second) {
    context_.log("server " + managed.server.value() + " is draining");
    events_.onHoldersChanged();
  }
  if (!drains && draining_.erase(managed.server) > 0) {
    events_.onHoldersChanged();
  }
}

void OwnershipController::reportCrash(Managed& managed, base::Incarnation incarnation)
{
  if (!managed.dispatcher) {
    return;
  }
  requests::CrashReport crash;
  crash.server = managed.server;
  crash.incarnation = incarnation;
  crash.domain = managed.domain;
  crash.inFlight = managed.dispatcher->takeCrashSuspects();
  if (!crash.inFlight.empty()) {
    quarantine_.recordCrash(crash);
  }
}

void OwnershipController::act(Managed& managed, const ownership::SendRelease& action)
{
  if (managed.releaseInFlight) {
    return;
  }
  if (managed.dispatcher) {
    managed.dispatcher->setWithheldShards(action.request.shards);
  }
  const json body = { { "term", action.request.term.value() },
                      { "shards", action.request.shards.text() },
                      { "overrides", json::array() },
                      { "wait_ms", kReleaseWaitTimeout.count() } };
  managed.releaseInFlight = true;
  // Answers to releases carry no id, and an earlier one must not end this release.
  context_.io.post(
    managed.address,
    "/sycamore/release",
    body.dump(),
    context_.now() + kReleaseTimeout,
    [this, server = managed.server, sent = action.request](const auto& response) {
      onReleaseAnswer(server, sent, response);
    },
    transport::ConnectionUse::New);
}

void OwnershipController::onReleaseAnswer(const ServerId& server,
                                          const ownership::ReleaseRequest& sent,
                                          const transport::BufferedResponse& response)
{
  Managed* managed = find(server);
  if (managed == nullptr) {
    return;
  }
  managed->releaseInFlight = false;
  const json body = json::parse(response.body, nullptr, false);
  ownership::ReleaseReply reply;
  reply.server = server;
  reply.term = sent.term;
  reply.id = sent.id;
  reply.released = response.ok() && body.is_object() && body.value("released", false) &&
                   managed->dispatcher && !managed->dispatcher->hasRequestsInFlight(sent.shards);
  perform(*managed, managed->lease.onReleaseReply(reply, context_.now()));
  flushVotes();
}

void OwnershipController::act(Managed& managed, const ownership::BecameHolder& action)
{
  ++context_.counters.leasesGained;
  context_.log("holder of " + managed.server.value() + " in term " +
               std::to_string(action.term.value()));
  managed.dispatcher = std::make_shared<router::ServerDispatcher>(managed.server,
                                                                  managed.address,
                                                                  managed.domain,
                                                                  gateSettings(managed.config),
                                                                  requests::DeduplicationSettings(),
                                                                  context_.now(),
                                                                  router::wallTime());
  managed.acceptedShards = {};
  managed.previousHolderInFlight.reset();
  dispatchers_.insert(managed.dispatcher);
  recordHolder(managed.server,
               { context_.self.vm, action.term, LeaseKind::Active, context_.now(), false, false });
  events_.onHoldersChanged();
}

void OwnershipController::act(Managed& managed, const ownership::LostLease& action)
{
  ++context_.counters.leasesLost;
  context_.log("no longer holder of " + managed.server.value() + " in term " +
               std::to_string(action.term.value()));
  dispatchers_.remove(managed.server);
  managed.dispatcher.reset();
  draining_.erase(managed.server);
  const auto known = holders_.find(managed.server);
  if (known != holders_.end() && known->second.holder == context_.self.vm) {
    holders_.erase(known);
  }
  // A VM that no longer holds the lease must not repeat the write of its change.
  events_.onChangeResolved(managed.server);
  events_.onHoldersChanged();
}

void OwnershipController::act(Managed& managed, const ownership::Evicted& action)
{
  ++context_.counters.evictions;
  context_.log("evicted " + managed.server.value() + " in term " +
               std::to_string(action.term.value()) + ", its successors serve its shards" +
               describeWithheld(managed.lease.withheldShards()));
  if (managed.incarnation) {
    reportCrash(managed, *managed.incarnation);
  }
  dispatchers_.remove(managed.server);
  managed.dispatcher.reset();
  draining_.erase(managed.server);
  recordHolder(managed.server,
               { context_.self.vm, action.term, LeaseKind::Evicted, context_.now(), false, false });
  events_.onHoldersChanged();
  nextPermits_ = context_.now();
}

void OwnershipController::act(Managed& managed, const ownership::WriteMap& action)
{
  events_.writeMap(managed.service, managed.server, action);
}

void OwnershipController::act(Managed& managed, const ownership::AdvanceGeneration& action)
{
  events_.advanceGeneration(managed.service, managed.server, action.base);
}

void OwnershipController::act(Managed& managed, const ownership::ChangeResolved&)
{
  if (managed.dispatcher) {
    managed.dispatcher->setWithheldShards({});
  }
  events_.onChangeResolved(managed.server);
}

void OwnershipController::flushVotes()
{
  std::map<VmId, VoteBatch> outgoing;
  outgoing.swap(outgoing_);
  for (auto& [to, batch] : outgoing) {
    sendVotes(to, std::move(batch));
  }
}

void OwnershipController::sendVotes(const VmId& to, VoteBatch batch)
{
  const auto peer = context_.members.findPeer(to);
  if (!peer || peer->peerAddress.empty()) {
    return;
  }
  ++context_.counters.voteBatchesSent;
  batch.from = context_.self.vm;
  context_.io.post(peer->peerAddress,
                   "/peer/vote",
                   encode(batch),
                   context_.now() + kVoteTimeout,
                   [this](const auto& response) {
                     if (response.ok()) {
                       onVoteReplies(decodeVoteBatchReply(response.body));
                     }
                   });
}

void OwnershipController::onVoteReplies(const VoteBatchReply& reply)
{
  const TimePoint now = context_.now();
  for (const auto& vote : reply.replies) {
    if (Managed* managed = find(vote.server)) {
      perform(*managed, managed->lease.onVoteReply(vote, now));
    }
  }
  for (const auto& stateReply : reply.stateReplies) {
    voter_.onStateReply(stateReply);
  }
  flushVotes();
}

VoteBatchReply OwnershipController::answerVotes(const VoteBatch& batch)
{
  const TimePoint now = context_.now();
  VoteBatchReply reply;
  for (const auto& request : batch.requests) {
    const auto vote = voter_.vote(request, now);
    Managed* managed = find(request.server);
    if (managed != nullptr && request.resign) {
      managed->lease.onHolderResigned(request.holder, now);
    } else if (managed != nullptr && vote.answer == ownership::VoteAnswer::Granted) {
      managed->lease.onHolderSeen(request.holder, request.term, now);
    }
    reply.replies.push_back(vote);
  }
  for (const auto& request : batch.stateRequests) {
    reply.stateReplies.push_back(voter_.answer(request));
  }
  return reply;
}

std::vector<ownership::Permit> OwnershipController::answerPermits(const PermitQuery& query)
{
  const TimePoint now = context_.now();
  std::vector<ownership::Permit> permits;
  for (const auto& [server, managed] : managed_) {
    for (const ServerId& successor : query.servers) {
      if (auto permit = managed->lease.permitFor(successor, now)) {
        permits.push_back(std::move(*permit));
      }
    }
  }
  return permits;
}

void OwnershipController::requestPermits()
{
  std::set<VmId> evictors;
  for (const auto& [server, known] : holders_) {
    if (known.kind == LeaseKind::Evicted) {
      evictors.insert(known.holder);
    }
  }
  std::vector<ServerId> successors;
  for (const auto& [server, managed] : managed_) {
    if (managed->lease.role() == LeaseRole::Active) {
      successors.push_back(server);
    }
  }
  if (successors.empty()) {
    return;
  }
  for (const VmId& evictor : evictors) {
    requestPermitsFrom(evictor, successors);
  }
}

void OwnershipController::requestPermitsFrom(const VmId& evictor,
                                             const std::vector<ServerId>& servers)
{
  const TimePoint askedAt = context_.now();
  const PermitQuery query{ context_.self.vm, servers };
  const auto apply = [this, askedAt](const std::vector<ownership::Permit>& permits) {
    for (const auto& permit : permits) {
      ++context_.counters.permitsReceived;
      permits_.apply(permit, askedAt);
      Managed* successor = find(permit.to);
      // Grant newly permitted shards immediately instead of with the next renewal.
      if (successor != nullptr && !successor->acceptedShards.containsAll(permit.shards)) {
        act(*successor, ownership::SendGrant{ successor->lease.term() });
      }
    }
  };
  if (evictor == context_.self.vm) {
    apply(answerPermits(query));
    return;
  }
  const auto peer = context_.members.findPeer(evictor);
  if (!peer) {
    return;
  }
  context_.io.post(peer->peerAddress,
                   "/peer/permit",
                   encode(query),
                   askedAt + kPermitTimeout,
                   [apply](const auto& response) {
                     if (response.ok()) {
                       apply(decodePermits(response.body));
                     }
                   });
}

ownership::ShardSet OwnershipController::permittedFor(const Managed& managed) const
{
  const auto shards = services_.find(managed.service);
  if (shards == services_.end()) {
    return {};
  }
  return permits_.grantable(managed.server, *shards->second, context_.now());
}

void OwnershipController::onHeartbeat(const Heartbeat& heartbeat)
{
  const TimePoint now = context_.now();
  bool newEviction = false;
  for (const HeldLease& held : heartbeat.held) {
    if (Managed* managed = find(held.server)) {
      managed->lease.onHolderSeen({ heartbeat.from, heartbeat.incarnation }, held.term, now);
    }
    const auto known = holders_.find(held.server);
    if (known != holders_.end() && known->second.term > held.term) {
      continue;
    }
    const bool changed = known == holders_.end() || known->second.holder != heartbeat.from ||
                         known->second.kind != held.kind ||
                         known->second.draining != held.draining ||
                         known->second.serving != held.serving;
    newEviction = newEviction || (changed && held.kind == LeaseKind::Evicted);
    recordHolder(held.server,
                 { heartbeat.from, held.term, held.kind, now, held.draining, held.serving });
    if (changed) {
      events_.onHoldersChanged();
    }
  }
  if (newEviction) {
    requestPermits();
  }
}

void OwnershipController::recordHolder(const ServerId& server, const KnownHolder& holder)
{
  holders_[server] = holder;
}

bool OwnershipController::startMove(const ServerId& server, const ownership::ShardSet& shards)
{
  Managed* managed = find(server);
  if (managed == nullptr) {
    return false;
  }
  const auto actions = managed->lease.startMove(shards, context_.now());
  if (actions) {
    perform(*managed, *actions);
    flushVotes();
  }
  return actions.has_value();
}

bool OwnershipController::startVoterChange(const ServerId& server, std::vector<VmId> voters)
{
  Managed* managed = find(server);
  if (managed == nullptr) {
    return false;
  }
  const auto actions = managed->lease.startVoterChange(std::move(voters), context_.now());
  if (actions) {
    perform(*managed, *actions);
    flushVotes();
  }
  return actions.has_value();
}

bool OwnershipController::isChanging(const ServerId& server) const
{
  const Managed* managed = find(server);
  return managed != nullptr && managed->lease.change().has_value();
}

void OwnershipController::resignAll()
{
  for (const auto& [server, managed] : managed_) {
    if (!managed->dispatcher || managed->dispatcher->inFlight() == 0) {
      perform(*managed, managed->lease.resign(context_.now()));
    }
  }
  flushVotes();
}

bool OwnershipController::holdsAny() const
{
  return std::any_of(managed_.begin(), managed_.end(), [](const auto& entry) {
    return entry.second->dispatcher != nullptr;
  });
}

std::vector<HeldLease> OwnershipController::held() const
{
  std::vector<HeldLease> list;
  for (const auto& [server, managed] : managed_) {
    if (managed->lease.isHeld(context_.now())) {
      const bool evicted = managed->lease.role() == LeaseRole::Evicted;
      list.push_back({ server,
                       managed->service,
                       managed->lease.term(),
                       evicted ? LeaseKind::Evicted : LeaseKind::Active,
                       draining_.contains(server),
                       isServing(server) });
    }
  }
  return list;
}

bool OwnershipController::isEvicted(const ServerId& server) const
{
  const auto found = holders_.find(server);
  return found != holders_.end() && found->second.kind == LeaseKind::Evicted;
}

bool OwnershipController::isDraining(const ServerId& server) const
{
  const auto found = holders_.find(server);
  return draining_.contains(server) || (found != holders_.end() && found->second.draining);
}

bool OwnershipController::isServing(const ServerId& server) const
{
  if (const Managed* managed = find(server); managed != nullptr && managed->dispatcher) {
    return context_.now() - managed->lastAcceptedAt < kServingTimeout;
  }
  const auto found = holders_.find(server);
  return found != holders_.end() && found->second.serving &&
         found->second.holder != context_.self.vm;
}

std::optional<LeaseRole> OwnershipController::roleOf(const ServerId& server) const
{
  Managed* managed = find(server);
  return managed == nullptr ? std::nullopt : std::optional(managed->lease.role());
}

} // namespace sycamore::control

#include "OperatorGateway.h"

#include "Logging.h"

#include <configuration/ConfigDocument.h>
#include <configuration/ConfigValidator.h>
#include <configuration/StoredValue.h>
#include <operators/ChangeReplies.h>
#include <operators/OperatorError.h>
#include <placement/KeyExplanation.h>

#include <algorithm>
#include <map>
#include <random>
#include <thread>

namespace sycamore::daemon {

using base::SteadyClock;
using base::TimePoint;
using configuration::ConfigObject;
using configuration::ObjectName;
using operators::CallContext;
using operators::ChangeReply;
using operators::OperatorError;
using operators::OperatorErrorCode;
using operators::ReplyOutcome;

namespace {

constexpr base::milliseconds kPollInterval{ 20 };

ChangeReply refusal(std::string message, const configuration::ConfigFaults& faults)
{
  ChangeReply reply;
  reply.outcome = ReplyOutcome::Refused;
  reply.message = std::move(message);
  for (const auto& fault : faults) {
    reply.faults.push_back({ fault.path, fault.message });
  }
  return reply;
}

std::uint64_t millisBetween(TimePoint from, TimePoint to)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count());
}

} // namespace

OperatorGateway::OperatorGateway(control::ControlThread& thread,
                                 control::Controller& controller,
                                 router::QuarantineRegistry& quarantine,
                                 transport::HttpClientPool& clients,
                                 std::string platformAddress,
                                 std::string version)
  : thread_(thread)
  , controller_(controller)
  , quarantine_(quarantine)
  , configChanger_(clients, std::move(platformAddress))
  , version_(std::move(version))
  , vm_(controller.self().value())
{
}

void OperatorGateway::setBurnReporter(
  std::function<operators::BurnReport(const operators::BurnReportRequest&, TimePoint)> reporter)
{
  burnReporter_ = std::move(reporter);
}

template<typename Function>
auto OperatorGateway::onControl(Function function, TimePoint deadline) -> decltype(function())
{
  auto result = thread_.ask(std::move(function), deadline);
  if (!result) {
    throw OperatorError(OperatorErrorCode::DeadlineExceeded,
                        "the control thread did not answer in time; try again");
  }
  return std::move(*result);
}

std::string OperatorGateway::writerToken()
{
  return vm_ + "/" + std::to_string(std::random_device{}()) + "." +
         std::to_string(nextWriterNumber_++);
}

std::set<base::DomainId> OperatorGateway::knownDomains(TimePoint deadline)
{
  return onControl(
    [this] {
      std::set<base::DomainId> domains{ controller_.members().selfDomain() };
      for (const auto& peer : controller_.members().peers()) {
        domains.insert(peer.domain);
      }
      for (const auto& [id, server] : controller_.members().servers()) {
        domains.insert(server.domain);
      }
      for (const auto& [id, domain] : controller_.config().snapshot()->domains) {
        domains.insert(id);
      }
      return domains;
    },
    deadline);
}

ChangeReply OperatorGateway::store(const ObjectName& name,
                                   std::uint64_t baseVersion,
                                   const std::string& document,
                                   bool dryRun,
                                   const CallContext& context)
{
  configuration::ConfigChange change;
  change.name = name;
  change.baseVersion = base::Version(baseVersion);
  change.document = document;
  change.writer = writerToken();
  change.dryRun = dryRun;
  change.deadline = context.deadline;
  auto known =
    onControl([this, name] { return controller_.config().store().find(name); }, context.deadline);
  const configuration::ChangeOutcome outcome = configChanger_.run(change, std::move(known));
  if (outcome.object) {
    // After a conflict this is the version that won, which is also newer than the one of this VM.
    thread_.post([this, object = *outcome.object] { controller_.config().adoptOwnChange(object); });
  }
  if (outcome.verdict == configuration::ChangeVerdict::Confirmed) {
    logInfo("configuration " + name.value() + " stored in version " +
            std::to_string(outcome.version.value()) + " by operator '" + context.operatorName +
            "'");
  }
  return operators::replyOf(outcome);
}

ChangeReply OperatorGateway::changeService(const std::string& service,
                                           std::uint64_t baseVersion,
                                           const std::string& document,
                                           bool dryRun,
                                           const CallContext& context)
{
  const base::ServiceId id(service);
  const auto validation = configuration::ConfigValidator().checkServiceChange(
    id, document, knownDomains(context.deadline));
  if (!validation.config) {
    return refusal("the document has faults; nothing was changed", validation.faults);
  }
  return store(configuration::objectName(id), baseVersion, document, dryRun, context);
}

ChangeReply OperatorGateway::createService(const operators::ServiceChange& request,
                                           const CallContext& context)
{
  return changeService(request.service, 0, request.document, request.dryRun, context);
}

ChangeReply OperatorGateway::updateService(const operators::ServiceChange& request,
                                           const CallContext& context)
{
  return changeService(
    request.service, request.baseVersion, request.document, request.dryRun, context);
}

ChangeReply OperatorGateway::deleteService(const operators::ServiceDeletion& request,
                                           const CallContext& context)
{
  const ObjectName name = configuration::objectName(base::ServiceId(request.service));
  return store(name, request.baseVersion, "", request.dryRun, context);
}

operators::StoredObject OperatorGateway::getService(const operators::ServiceQuery& request,
                                                    const CallContext& context)
{
  const ObjectName name = configuration::objectName(base::ServiceId(request.service));
  const auto object =
    onControl([this, name] { return controller_.config().store().find(name); }, context.deadline);
  if (!object) {
    throw OperatorError(OperatorErrorCode::NotFound, "no service '" + request.service + "'");
  }
  return operators::storedObjectOf(*object);
}

operators::ServiceList OperatorGateway::listServices(const operators::ListServicesRequest&,
                                                     const CallContext& context)
{
  return onControl(
    [this] {
      operators::ServiceList list;
      const auto& store = controller_.config().store();
      for (const auto& [name, version] : store.inventory()) {
        const auto object = store.find(name);
        if (configuration::serviceOf(name) && object &&
            !configuration::StoredValue::parse(object->value).isDeleted()) {
          list.services.push_back(operators::storedObjectOf(*object));
        }
      }
      return list;
    },
    context.deadline);
}

operators::ChangeBatch OperatorGateway::changesAfter(std::uint64_t cursor, TimePoint until)
{
  for (;;) {
    const auto batch = onControl(
      [this, cursor] {
        operators::ChangeBatch changes;
        const auto& store = controller_.config().store();
        // Object versions are revisions of the platform's entire store, so one cursor covers all
        // objects.
        changes.cursor = cursor;
        for (const auto& [name, version] : store.inventory()) {
          if (version.value() <= cursor || !configuration::serviceOf(name)) {
            continue;
          }
          changes.cursor = std::max(changes.cursor, version.value());
          if (const auto object = store.find(name)) {
            changes.objects.push_back(operators::storedObjectOf(*object));
          }
        }
        return changes;
      },
      until + kPollInterval);
    if (!batch.objects.empty() || cursor == 0 || SteadyClock().now() + kPollInterval >= until) {
      return batch;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

operators::DomainList OperatorGateway::listDomains(const operators::ListDomainsRequest&,
                                                   const CallContext& context)
{
  const auto domains = knownDomains(context.deadline);
  return onControl(
    [this, domains] {
      operators::DomainList list;
      const auto snapshot = controller_.config().snapshot();
      const auto& members = controller_.members();
      for (const base::DomainId& domain : domains) {
        operators::DomainRow row;
        row.domain = domain.value();
        row.state = snapshot->domainInService(domain) ? "in" : "out";
        row.version =
          controller_.config().store().versionOf(configuration::objectName(domain)).value();
        row.entryVms = members.selfDomain() == domain ? 1 : 0;
        for (const auto& peer : members.peers()) {
          row.entryVms += peer.domain == domain ? 1 : 0;
        }
        for (const auto& [id, server] : members.servers()) {
          row.servers += server.domain == domain ? 1 : 0;
        }
        list.domains.push_back(row);
      }
      return list;
    },
    context.deadline);
}

ChangeReply OperatorGateway::changeDomain(const operators::DomainChange& request,
                                          bool inService,
                                          const CallContext& context)
{
  configuration::DomainConfig config;
  config.domain = base::DomainId(request.domain);
  config.inService = inService;
  config.reason = request.reason;
  const std::string document = configuration::domainDocument(config);
  const auto validation = configuration::ConfigValidator().checkDomainChange(
    config.domain, document, knownDomains(context.deadline));
  if (!validation.config) {
    return refusal("the failure domain can't be changed; nothing was changed", validation.faults);
  }
  return store(configuration::objectName(config.domain),
               request.baseVersion,
               document,
               request.dryRun,
               context);
}

ChangeReply OperatorGateway::takeDomainOut(const operators::DomainChange& request,
                                           const CallContext& context)
{
  return changeDomain(request, false, context);
}

ChangeReply OperatorGateway::bringDomainBack(const operators::DomainChange& request,
                                             const CallContext& context)
{
  return changeDomain(request, true, context);
}

control::StoredMap OperatorGateway::mapOf(const std::string& service, TimePoint deadline)
{
  const auto stored = onControl(
    [this, service] { return controller_.maps().find(base::ServiceId(service)); }, deadline);
  if (!stored) {
    throw OperatorError(OperatorErrorCode::NotFound,
                        "no shard map of service '" + service + "' is known here");
  }
  return *stored;
}

operators::Placement OperatorGateway::showPlacement(const operators::ServiceQuery& request,
                                                    const CallContext& context)
{
  const auto stored = mapOf(request.service, context.deadline);
  operators::Placement placement;
  placement.service = request.service;
  placement.generation = stored.map->generation().value();
  stored.map->forEachShard([&](base::ShardId shard, const placement::ShardRow&) {
    operators::ShardRow row;
    row.shard = shard.value();
    if (const auto* keyOverride = stored.map->overrideAt(shard)) {
      row.key = keyOverride->key.value();
    }
    row.owner = stored.map->owner(shard).value();
    if (const auto* successor = stored.map->successor(shard)) {
      row.successor = successor->value();
    }
    placement.shards.push_back(row);
  });
  return placement;
}

std::vector<control::ChangeOrder> OperatorGateway::ordersFor(const operators::MovePlan& request,
                                                             const placement::ShardMap& map,
                                                             TimePoint deadline)
{
  std::vector<base::ShardId> shards;
  for (const std::uint32_t shard : request.shards) {
    if (!map.contains(base::ShardId(shard))) {
      throw OperatorError(OperatorErrorCode::InvalidArgument,
                          "service '" + request.service + "' has no shard " +
                            std::to_string(shard));
    }
    shards.emplace_back(shard);
  }
  if (shards.empty()) {
    const auto owned = map.shardsOf(base::ServerId(request.from));
    shards.assign(owned.begin(), owned.end());
  }
  const auto serving = onControl(
    [this, servers = std::vector(map.servers().begin(), map.servers().end())] {
      std::vector<base::ServerId> usable;
      for (const auto& server : servers) {
        if (controller_.ownership().isServing(server.id) &&
            !controller_.ownership().isDraining(server.id)) {
          usable.push_back(server.id);
        }
      }
      return usable;
    },
    deadline);
  std::map<base::ServerId, control::ChangeOrder> orders;
  std::size_t next = 0;
  for (const base::ShardId shard : shards) {
    const base::ServerId& from = map.owner(shard);
    base::ServerId to(request.to);
    for (std::size_t i = 0; to.value().empty() && i < serving.size(); ++i) {
      const auto& candidate = serving[next++ % serving.size()];
      to = candidate == from ? to : candidate;
    }
    if (map.find(to) == nullptr || to == from) {
      throw OperatorError(OperatorErrorCode::InvalidArgument,
                          "no server to move shard " + std::to_string(shard.value()) + " to");
    }
    auto& order = orders[from];
    order.service = map.service();
    order.server = from;
    order.generation = map.generation();
    // The previous owner becomes the successor, unless it is drained.
    order.moves.push_back({ shard, to, from });
  }
  std::vector<control::ChangeOrder> list;
  for (auto& [server, order] : orders) {
    list.push_back(std::move(order));
  }
  return list;
}

ChangeReply OperatorGateway::planMove(const operators::MovePlan& request,
                                      const CallContext& context)
{
  const auto stored = mapOf(request.service, context.deadline);
  ChangeReply reply;
  reply.version = stored.map->generation().value();
  if (request.baseVersion != 0 && request.baseVersion != reply.version) {
    reply.outcome = ReplyOutcome::Conflict;
    reply.message = "the shard map has generation " + std::to_string(reply.version) + ", not " +
                    std::to_string(request.baseVersion) + "; read the placement again";
    return reply;
  }
  const auto orders = ordersFor(request, *stored.map, context.deadline);
  for (const auto& order : orders) {
    for (const auto& move : order.moves) {
      reply.moves.push_back({ move.shard.value(), order.server.value(), move.to.value() });
    }
  }
  reply.outcome = ReplyOutcome::Planned;
  if (request.dryRun || orders.empty()) {
    reply.message = std::to_string(reply.moves.size()) + " shards would move";
    return reply;
  }
  for (const auto& order : orders) {
    thread_.post([this, order] { controller_.requestChange(order); });
  }
  const bool moved = waitUntilMoved(orders, request.service, context.deadline, reply.version);
  reply.outcome = moved ? ReplyOutcome::Confirmed : ReplyOutcome::InDoubt;
  reply.message =
    moved ? std::to_string(reply.moves.size()) + " shards moved"
          : "the moves were requested, but not all were completed in time; check the placement";
  return reply;
}

bool OperatorGateway::waitUntilMoved(const std::vector<control::ChangeOrder>& orders,
                                     const std::string& service,
                                     TimePoint deadline,
                                     std::uint64_t& generation)
{
  while (SteadyClock().now() + 2 * kPollInterval < deadline) {
    const auto stored = mapOf(service, deadline);
    generation = stored.map->generation().value();
    const bool moved = std::all_of(orders.begin(), orders.end(), [&](const auto& order) {
      return std::all_of(order.moves.begin(), order.moves.end(), [&](const auto& move) {
        return stored.map->contains(move.shard) && stored.map->owner(move.shard) == move.to;
      });
    });
    if (moved) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

ChangeReply OperatorGateway::drainServer(const operators::ServerDrain&, const CallContext&)
{
  throw OperatorError(OperatorErrorCode::Unimplemented,
                      "a server is drained by the platform: mark its VM as leaving there, and its "
                      "shards move away");
}

operators::KeyExplanation OperatorGateway::explainKey(const operators::KeyQuery& request,
                                                      const CallContext& context)
{
  const auto stored = mapOf(request.service, context.deadline);
  return onControl(
    [this, request, stored] {
      const TimePoint now = SteadyClock().now();
      const auto* history = controller_.maps().historyOf(base::ServiceId(request.service));
      const auto explained =
        placement::explainKey(*stored.map, *history, base::Key(request.key), now);
      operators::KeyExplanation reply;
      reply.service = request.service;
      reply.shard = explained.shard.value();
      reply.hotKey = explained.isSplitOut;
      reply.owner = explained.owner.id.value();
      if (explained.movedInGeneration) {
        reply.sinceGeneration = explained.movedInGeneration->value();
      }
      if (explained.ownedFor) {
        reply.sinceMs = static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(*explained.ownedFor).count());
      }
      reply.why = placement::describe(explained);
      if (explained.successor) {
        reply.successor = explained.successor->id.value();
      }
      const auto& holders = controller_.ownership().holders();
      const auto holder = holders.find(explained.owner.id);
      if (holder != holders.end()) {
        reply.holder = holder->second.holder.value();
        reply.term = holder->second.term.value();
        reply.state = holder->second.kind == ownership::LeaseKind::Evicted
                        ? "evicted: the successor serves the key"
                        : "active";
      } else {
        reply.state = "no holder is known";
      }
      return reply;
    },
    context.deadline);
}

operators::OwnerList OperatorGateway::listOwners(const operators::ServiceQuery& request,
                                                 const CallContext& context)
{
  return onControl(
    [this, request] {
      operators::OwnerList list;
      for (const auto& [service, generation] : controller_.maps().generations()) {
        if (!request.service.empty() && service.value() != request.service) {
          continue;
        }
        const auto map = controller_.maps().find(service)->map;
        for (const auto& server : map->servers()) {
          operators::OwnerRow row;
          row.service = service.value();
          row.server = server.id.value();
          row.domain = server.entry.domain.value();
          for (const base::ShardId shard : map->shardsOf(server.id)) {
            ++(map->overrideAt(shard) != nullptr ? row.hotKeys : row.shards);
          }
          list.owners.push_back(row);
        }
      }
      return list;
    },
    context.deadline);
}

operators::TenancyList OperatorGateway::listTenancies(const operators::ServiceQuery& request,
                                                      const CallContext& context)
{
  return onControl(
    [this, request] {
      operators::TenancyList list;
      const auto& holders = controller_.ownership().holders();
      for (const auto& [service, generation] : controller_.maps().generations()) {
        if (!request.service.empty() && service.value() != request.service) {
          continue;
        }
        for (const auto& server : controller_.maps().find(service)->map->servers()) {
          operators::TenancyRow row;
          row.service = service.value();
          row.server = server.id.value();
          for (const auto& voter : server.entry.voters) {
            row.voters.push_back(voter.value());
          }
          const auto holder = holders.find(server.id);
          if (holder == holders.end()) {
            row.kind = "none";
          } else {
            row.holder = holder->second.holder.value();
            row.term = holder->second.term.value();
            row.kind = holder->second.kind == ownership::LeaseKind::Evicted ? "evicted" : "active";
          }
          list.tenancies.push_back(row);
        }
      }
      return list;
    },
    context.deadline);
}

operators::MoveList OperatorGateway::listMoves(const operators::ServiceQuery& request,
                                               const CallContext& context)
{
  return onControl(
    [this, request] {
      operators::MoveList list;
      for (const auto& [service, generation] : controller_.maps().generations()) {
        if (!request.service.empty() && service.value() != request.service) {
          continue;
        }
        for (const auto& move : controller_.maps().plannedMoves(service)) {
          operators::MoveRow row;
          row.service = service.value();
          row.shard = move.shard.value();
          row.from = move.from.value();
          row.to = move.to.value();
          row.why = std::string(placement::toString(move.reason));
          row.state = "under way";
          list.moves.push_back(row);
        }
      }
      return list;
    },
    context.deadline);
}

operators::QuarantineList OperatorGateway::listQuarantine(const operators::ListQuarantineRequest&,
                                                          const CallContext&)
{
  const TimePoint now = SteadyClock().now();
  operators::QuarantineList list;
  for (const auto& record : quarantine_.quarantined()) {
    operators::Verdict verdict;
    verdict.id = record.subject;
    verdict.crashes = static_cast<std::uint32_t>(record.evidence.size());
    verdict.reason = "crashed";
    TimePoint expiresAt = now;
    for (const auto& crash : record.evidence) {
      verdict.reason += " " + crash.server.value() + " (" + crash.domain.value() + ")";
      expiresAt = std::max(expiresAt, crash.expiresAt);
    }
    verdict.expiresInMs = millisBetween(now, expiresAt);
    list.verdicts.push_back(verdict);
  }
  return list;
}

ChangeReply OperatorGateway::liftQuarantine(const operators::QuarantineLift& request,
                                            const CallContext& context)
{
  ChangeReply reply;
  const auto quarantined = quarantine_.quarantined();
  const bool found = std::any_of(quarantined.begin(), quarantined.end(), [&](const auto& record) {
    return record.subject == request.id;
  });
  if (!found) {
    reply.outcome = ReplyOutcome::Refused;
    reply.message = "no quarantined request '" + request.id + "'; see 'quarantine list'";
    return reply;
  }
  reply.outcome = ReplyOutcome::Planned;
  if (!request.dryRun) {
    quarantine_.lift(request.id);
    logInfo("quarantine of " + request.id + " lifted by operator '" + context.operatorName + "'");
    reply.outcome = ReplyOutcome::Confirmed;
    reply.message = "quarantine lifted on this VM; its peers follow with their next heartbeats";
  }
  return reply;
}

operators::ConfigStatus OperatorGateway::configStatus(const operators::ConfigStatusRequest&,
                                                      const CallContext& context)
{
  return onControl(
    [this] {
      const TimePoint now = SteadyClock().now();
      operators::ConfigStatus status;
      status.platformReachable = controller_.isPlatformReachable();
      const std::string ownDigest = controller_.config().digest();
      status.vms.push_back({ vm_, controller_.members().selfDomain().value(), ownDigest, true, 0 });
      for (const auto& peer : controller_.members().peers()) {
        const auto& digests = controller_.config().peerDigests();
        const auto digest = digests.find(peer.id);
        operators::VmConfigRow row;
        row.vm = peer.id.value();
        row.domain = peer.domain.value();
        row.digest = digest == digests.end() ? "" : digest->second;
        row.inSync = row.digest == ownDigest;
        row.heardMsAgo = millisBetween(peer.lastHeartbeatAt, now);
        status.vms.push_back(row);
      }
      const auto& store = controller_.config().store();
      for (const auto& [name, version] : store.inventory()) {
        const auto object = store.find(name);
        const bool deleted = object && configuration::StoredValue::parse(object->value).isDeleted();
        status.objects.push_back({ name.value(), version.value(), deleted });
      }
      for (const auto& [name, unusable] : controller_.config().snapshot()->unusable) {
        operators::UnusableObject row;
        row.name = name.value();
        row.version = unusable.version.value();
        row.versionInUse = unusable.versionInUse.value();
        for (const auto& fault : unusable.faults) {
          row.faults.push_back({ fault.path, fault.message });
        }
        status.unusable.push_back(row);
      }
      return status;
    },
    context.deadline);
}

operators::BurnReport OperatorGateway::burnReport(const operators::BurnReportRequest& request,
                                                  const CallContext& context)
{
  if (!burnReporter_) {
    throw OperatorError(OperatorErrorCode::Unavailable,
                        "burn reports are not available on this VM");
  }
  return burnReporter_(request, context.deadline);
}

ChangeReply OperatorGateway::setLogLevel(const operators::LogLevelChange& request,
                                         const CallContext&)
{
  ChangeReply reply;
  const bool known = daemon::setLogLevel(request.level);
  reply.outcome = known ? ReplyOutcome::Confirmed : ReplyOutcome::Refused;
  reply.message =
    known ? "log level " + request.level : "the level must be debug, info, warning or error";
  return reply;
}

operators::VersionReply OperatorGateway::version(const operators::VersionRequest&,
                                                 const CallContext&)
{
  return { version_, vm_ };
}

} // namespace sycamore::daemon

#include <entry/PeerMessage.h>

#include "PeerMessageJson.h"

#include <entry/Asio.h>
#include <entry/KeyReportJson.h>
#include <entry/LoadMessageJson.h>

#include <dispatch/RangeJson.h>

#include <array>

namespace sycamore::entry {

namespace {

// Maximum number of leaving servers in a message.
constexpr std::size_t kMaxLeavingServers = 24;

Json writeConnectionBreaks(const std::vector<ConnectionBreak>& connectionBreaks)
{
  Json rows = Json::array();
  for (const ConnectionBreak& connectionBreak : connectionBreaks) {
    rows.push_back({ connectionBreak.digest, connectionBreak.serverIncarnation });
  }
  return rows;
}

std::vector<ConnectionBreak> readConnectionBreaks(const Json& rows)
{
  std::vector<ConnectionBreak> connectionBreaks;
  for (const Json& row : rows) {
    connectionBreaks.push_back({ row.at(0).get<std::uint64_t>(), row.at(1).get<std::string>() });
  }
  return connectionBreaks;
}

// Writes at most as many servers as fit into a datagram beside the rest of its message.
Json writeIncarnations(const std::vector<dispatch::ServerIncarnation>& incarnations)
{
  Json rows = Json::array();
  for (const dispatch::ServerIncarnation& incarnation : incarnations) {
    if (rows.size() == kMaxLeavingServers) {
      break;
    }
    rows.push_back({ incarnation.id.value(), incarnation.born });
  }
  return rows;
}

std::vector<dispatch::ServerIncarnation> readIncarnations(const Json& rows)
{
  std::vector<dispatch::ServerIncarnation> incarnations;
  for (const Json& row : rows) {
    incarnations.push_back(readIncarnation(row));
  }
  return incarnations;
}

Json toJson(const HeartbeatMessage& message)
{
  const dispatch::CoordinatorHeartbeat& heartbeat = message.heartbeat;
  const dispatch::LimitedServersPage& limited = message.limitedServers;
  Json json = Json::array({ kHeartbeat,
                            heartbeat.coordinator.vm.value(),
                            heartbeat.coordinator.run,
                            heartbeat.coordinator.address,
                            heartbeat.epoch,
                            heartbeat.storeReachable,
                            heartbeat.leaving,
                            message.rank,
                            message.entryVms,
                            writeConnectionBreaks(message.connectionBreaks),
                            message.revision,
                            message.isRelay,
                            message.lastChangeRevisions,
                            writeLoadAggregators(message),
                            writeIncarnations(message.leavingServers),
                            writeLimitedServers(limited.servers) });
  const bool isWholeList = limited.after.value().empty() && limited.isLast;
  if (!isWholeList || message.configurationEcho) {
    json.push_back(limited.after.value());
    json.push_back(limited.isLast);
  }
  if (const auto& echo = message.configurationEcho) {
    json.push_back(echo->stamp);
    // Rounded down, since the copy is at least as current as told.
    json.push_back(std::chrono::floor<std::chrono::milliseconds>(echo->currentAfterReport).count());
  }
  return json;
}

Json toJson(const ReportMessage& message)
{
  Json work = Json::object();
  for (const auto& [server, sample] : message.work) {
    work[server.value()] = { sample.count, toMilliseconds(sample.total) };
  }
  Json json = Json::array({ kReport,
                            message.vm.value(),
                            message.run,
                            message.capacity,
                            writeKeyBuckets(message.keys),
                            writeConnectionBreaks(message.connectionBreaks),
                            message.leaving,
                            std::move(work),
                            message.domain.value(),
                            writeIncarnations(message.leavingServers) });
  if (dispatch::hasHotSpan(message.keys) || message.sentAt != 0) {
    json.push_back(writeHotKeys(message.keys));
  }
  if (message.sentAt != 0) {
    json.push_back(message.sentAt);
  }
  return json;
}

Json toJson(const CoordinatorStoppedMessage& message)
{
  return Json::array({ kCoordinatorStopped,
                       message.epoch,
                       message.previousCoordinatorsStopIn.count(),
                       message.unansweredGrantsExpireIn.count() });
}

Json toJson(const OwnershipDeltaMessage& message)
{
  Json services = Json::object();
  for (const auto& [service, ranges] : message.delta.changes) {
    services[service.value()] = dispatch::writeRanges(ranges);
  }
  const dispatch::Coordinator& coordinator = message.delta.coordinator;
  return Json::array({ kOwnershipDelta,
                       message.delta.previous,
                       message.delta.revision,
                       std::move(services),
                       coordinator.vm.value(),
                       coordinator.run,
                       coordinator.address,
                       message.delta.epoch,
                       message.delta.part,
                       message.delta.parts });
}

Json writePatches(const std::vector<ObjectPatch>& patches)
{
  Json rows = Json::array();
  for (const ObjectPatch& patch : patches) {
    rows.push_back(
      { patch.name, patch.previous, patch.revision, patch.deleting, patch.mergePatch });
  }
  return rows;
}

std::vector<ObjectPatch> readPatches(const Json& rows)
{
  std::vector<ObjectPatch> patches;
  for (const Json& row : rows) {
    patches.push_back({ row.at(0).get<std::string>(),
                        row.at(1).get<std::uint64_t>(),
                        row.at(2).get<std::uint64_t>(),
                        row.at(3).get<bool>(),
                        row.at(4).get<std::string>() });
  }
  return patches;
}

Json toJson(const ObjectChangeMessage& message)
{
  const ObjectChange& change = message.change;
  Json events = Json::array();
  for (const wire::WatchEvent& event : change.events) {
    events.push_back({ event.object.name,
                       event.object.revision,
                       event.object.deleting,
                       event.deleted,
                       event.deleted ? "" : event.object.json });
  }
  return Json::array({ kObjectChange,
                       static_cast<int>(change.kind),
                       change.part.previous,
                       change.part.revision,
                       change.part.part,
                       change.part.parts,
                       std::move(events),
                       writePatches(change.patches) });
}

// Addresses are sent as numbers, which take fewer bytes than text.
Json toJson(const ForwardMessage& message)
{
  Json receivers = Json::array();
  for (const std::string& ip : message.receivers) {
    error_code error;
    const auto address = asio::ip::make_address_v4(ip, error);
    if (!error) {
      receivers.push_back(address.to_uint());
    }
  }
  const Json::binary_t bytes(
    std::vector<std::uint8_t>(message.message.begin(), message.message.end()));
  return Json::array({ kForward, std::move(receivers), bytes });
}

ForwardMessage readForward(const Json& json)
{
  ForwardMessage message;
  for (const Json& receiver : json.at(1)) {
    message.receivers.push_back(
      asio::ip::make_address_v4(receiver.get<std::uint32_t>()).to_string());
  }
  const auto& bytes = json.at(2).get_binary();
  message.message.assign(bytes.begin(), bytes.end());
  return message;
}

ObjectChangeMessage readObjectChange(const Json& json)
{
  ObjectChangeMessage message;
  message.change.kind = static_cast<wire::Kind>(json.at(1).get<int>());
  message.change.part = { json.at(2).get<std::uint64_t>(),
                          json.at(3).get<std::uint64_t>(),
                          json.at(4).get<unsigned>(),
                          json.at(5).get<unsigned>() };
  for (const Json& row : json.at(6)) {
    wire::WatchEvent event;
    event.object = { row.at(0).get<std::string>(),
                     row.at(1).get<std::uint64_t>(),
                     row.at(2).get<bool>(),
                     row.at(4).get<std::string>() };
    event.deleted = row.at(3).get<bool>();
    message.change.events.push_back(std::move(event));
  }
  message.change.patches = readPatches(json.at(7));
  return message;
}

OwnershipDeltaMessage readOwnershipDelta(const Json& json)
{
  OwnershipDeltaMessage message;
  message.delta.previous = json.at(1).get<std::uint64_t>();
  message.delta.revision = json.at(2).get<std::uint64_t>();
  for (const auto& [service, rows] : json.at(3).items()) {
    message.delta.changes[base::ServiceId(service)] = dispatch::readRanges(rows);
  }
  message.delta.coordinator = { base::VmId(json.at(4).get<std::string>()),
                                json.at(5).get<std::uint64_t>(),
                                json.at(6).get<std::string>() };
  message.delta.epoch = json.at(7).get<std::uint64_t>();
  message.delta.part = json.at(8).get<unsigned>();
  message.delta.parts = json.at(9).get<unsigned>();
  return message;
}

HeartbeatMessage readHeartbeat(const Json& json)
{
  HeartbeatMessage message;
  message.heartbeat.coordinator = { base::VmId(json.at(1).get<std::string>()),
                                    json.at(2).get<std::uint64_t>(),
                                    json.at(3).get<std::string>() };
  message.heartbeat.epoch = json.at(4).get<std::uint64_t>();
  message.heartbeat.storeReachable = json.at(5).get<bool>();
  message.heartbeat.leaving = json.at(6).get<bool>();
  message.rank = json.at(7).get<unsigned>();
  message.entryVms = json.at(8).get<unsigned>();
  message.connectionBreaks = readConnectionBreaks(json.at(9));
  message.revision = json.at(10).get<std::uint64_t>();
  message.isRelay = json.at(11).get<bool>();
  message.lastChangeRevisions = json.at(12).get<std::vector<std::uint64_t>>();
  readLoadAggregators(json.at(13), message);
  message.leavingServers = readIncarnations(json.at(14));
  message.limitedServers.servers = readLimitedServers(json.at(15));
  if (json.size() > 16) {
    message.limitedServers.after = base::ServerId(json.at(16).get<std::string>());
    message.limitedServers.isLast = json.at(17).get<bool>();
  }
  if (json.size() > 18) {
    message.configurationEcho =
      dispatch::ReportEcho{ json.at(18).get<dispatch::ReportStamp>(),
                            std::chrono::milliseconds(json.at(19).get<std::int64_t>()) };
  }
  return message;
}

ReportMessage readReport(const Json& json)
{
  ReportMessage message;
  message.vm = base::VmId(json.at(1).get<std::string>());
  message.run = json.at(2).get<std::uint64_t>();
  message.capacity = json.at(3).get<double>();
  message.keys = readKeyReports(json.at(4), json.size() > 10 ? json.at(10) : Json::object());
  message.connectionBreaks = readConnectionBreaks(json.at(5));
  message.leaving = json.at(6).get<bool>();
  message.domain = base::DomainId(json.at(8).get<std::string>());
  message.leavingServers = readIncarnations(json.at(9));
  message.sentAt = json.size() > 11 ? json.at(11).get<dispatch::ReportStamp>() : 0;
  for (const auto& [server, sample] : json.at(7).items()) {
    message.work[base::ServerId(server)] = {
      sample.at(0).get<std::uint32_t>(), std::chrono::milliseconds(sample.at(1).get<std::int64_t>())
    };
  }
  return message;
}

} // namespace

std::string encodePeerMessage(const PeerMessage& message)
{
  const Json json = std::visit([](const auto& concrete) { return toJson(concrete); }, message);
  std::string bytes;
  Json::to_msgpack(json, bytes);
  return bytes;
}

std::optional<PeerMessage> decodePeerMessage(const std::string& bytes)
{
  try {
    const Json json = Json::from_msgpack(bytes);
    switch (json.at(0).get<int>()) {
      case kHeartbeat:
        return readHeartbeat(json);
      case kReport:
        return readReport(json);
      case kCoordinatorStopped:
        return CoordinatorStoppedMessage{ json.at(1).get<std::uint64_t>(),
                                          base::Duration(json.at(2).get<std::int64_t>()),
                                          base::Duration(json.at(3).get<std::int64_t>()) };
      case kOwnershipDelta:
        return readOwnershipDelta(json);
      case kObjectChange:
        return readObjectChange(json);
      case kForward:
        return readForward(json);
      case kServerUseType:
        return readServerUse(json);
      case kLoadSummaryType:
        return readLoadSummary(json);
      case kServerLimit:
        return readServerLimit(json);
      case kPermitRequest:
        return readPermitRequest(json);
      case kPermitGrant:
        return readPermitGrant(json);
      case kDomainSumsType:
        return readDomainSums(json);
      case kQuotaQuestions:
        return readQuotaQuestions(json);
      case kQuotaLoans:
        return readQuotaLoans(json);
      default:
        return std::nullopt;
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

const char* kindNameOf(const PeerMessage& message)
{
  // In the order of the variant's alternatives.
  constexpr std::array kNames{ "heartbeat",       "report",        "coordinator_stopped",
                               "ownership_delta", "object_change", "forward",
                               "server_use",      "load_summary",  "server_limit",
                               "permit_request",  "permit_grant",  "domain_sums",
                               "quota_questions", "quota_loans" };
  static_assert(kNames.size() == std::variant_size_v<PeerMessage>);
  return kNames.at(message.index());
}

} // namespace sycamore::entry

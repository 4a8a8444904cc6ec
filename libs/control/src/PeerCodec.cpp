#include <control/PeerCodec.h>

#include <control/ControlError.h>

#include <nlohmann/json.hpp>

namespace sycamore::control {

using base::Duration;
using base::TimePoint;
using nlohmann::json;
using ownership::HolderId;
using ownership::LeaseKind;
using ownership::VoteAnswer;

namespace {

std::int64_t nanos(TimePoint time)
{
  return time.time_since_epoch().count();
}

TimePoint timeOf(const json& value)
{
  return TimePoint(Duration(value.get<std::int64_t>()));
}

template<typename Id>
std::vector<std::string> textsOf(const std::vector<Id>& ids)
{
  std::vector<std::string> texts;
  for (const Id& id : ids) {
    texts.push_back(id.value());
  }
  return texts;
}

template<typename Id>
std::vector<Id> idsOf(const json& value)
{
  std::vector<Id> ids;
  for (const auto& text : value) {
    ids.emplace_back(text.get<std::string>());
  }
  return ids;
}

template<typename Strong>
Strong strongOf(const json& value)
{
  return Strong(value.get<typename Strong::ValueType>());
}

json toJson(const HolderId& holder)
{
  return json::array({ holder.vm.value(), holder.incarnation.value() });
}

HolderId holderOf(const json& value)
{
  return { strongOf<base::VmId>(value.at(0)), strongOf<base::Incarnation>(value.at(1)) };
}

// Decodes a duration in nanoseconds. No lease or quarantine verdict lasts longer than a day, and
// much longer durations would overflow when they are added to a time point.
Duration durationOf(const json& value)
{
  constexpr std::int64_t kLongest = Duration(std::chrono::hours(24)).count();
  const auto nanoseconds = value.get<std::int64_t>();
  if (nanoseconds > kLongest || nanoseconds < -kLongest) {
    throw ControlError("a duration exceeds 24 hours");
  }
  return Duration(nanoseconds);
}

int kindNumber(LeaseKind kind)
{
  return kind == LeaseKind::Evicted ? 1 : 0;
}

LeaseKind kindOf(const json& value)
{
  const int number = value.get<int>();
  if (number != 0 && number != 1) {
    throw ControlError("unknown lease kind " + std::to_string(number));
  }
  return number == 1 ? LeaseKind::Evicted : LeaseKind::Active;
}

VoteAnswer answerOf(const json& value)
{
  const int number = value.get<int>();
  if (number < 0 || number > static_cast<int>(VoteAnswer::MustWait)) {
    throw ControlError("unknown vote answer " + std::to_string(number));
  }
  return static_cast<VoteAnswer>(number);
}

json toJson(const ownership::VoteRequest& request)
{
  json value = { { "server", request.server.value() },  { "holder", toJson(request.holder) },
                 { "term", request.term.value() },      { "kind", kindNumber(request.kind) },
                 { "gen", request.generation.value() }, { "row", request.rowGeneration.value() },
                 { "floor", request.floor.value() },    { "peers", textsOf(request.peers) },
                 { "asked", nanos(request.askedAt) } };
  if (request.proof) {
    value["proof"] =
      json::array({ request.proof->voterIncarnation.value(), request.proof->generation.value() });
  }
  if (!request.checksTokens) {
    value["unchecked"] = true;
  }
  if (request.resign) {
    value["resign"] = true;
  }
  return value;
}

ownership::VoteRequest voteRequestOf(const json& value)
{
  ownership::VoteRequest request;
  request.server = strongOf<base::ServerId>(value.at("server"));
  request.holder = holderOf(value.at("holder"));
  request.term = strongOf<base::Term>(value.at("term"));
  request.kind = kindOf(value.at("kind"));
  request.generation = strongOf<base::Generation>(value.at("gen"));
  request.rowGeneration = strongOf<base::Generation>(value.at("row"));
  request.floor = strongOf<base::Generation>(value.at("floor"));
  request.peers = idsOf<base::VmId>(value.at("peers"));
  request.askedAt = timeOf(value.at("asked"));
  if (value.contains("proof")) {
    request.proof = ownership::FloorProof{ strongOf<base::Incarnation>(value["proof"].at(0)),
                                           strongOf<base::Generation>(value["proof"].at(1)) };
  }
  request.checksTokens = !value.value("unchecked", false);
  request.resign = value.value("resign", false);
  return request;
}

json toJson(const ownership::VoteReply& reply)
{
  return { { "server", reply.server.value() },
           { "holder", toJson(reply.holder) },
           { "term", reply.term.value() },
           { "kind", kindNumber(reply.kind) },
           { "asked", nanos(reply.askedAt) },
           { "voter", reply.voter.value() },
           { "run", reply.voterIncarnation.value() },
           { "answer", static_cast<int>(reply.answer) },
           { "highest", reply.highestTerm.value() },
           { "cur_kind", kindNumber(reply.currentKind) },
           { "cur_row", reply.currentRowGeneration.value() },
           { "floor", reply.floor.value() },
           { "remaining_ns", reply.remaining.count() } };
}

ownership::VoteReply voteReplyOf(const json& value)
{
  ownership::VoteReply reply;
  reply.server = strongOf<base::ServerId>(value.at("server"));
  reply.holder = holderOf(value.at("holder"));
  reply.term = strongOf<base::Term>(value.at("term"));
  reply.kind = kindOf(value.at("kind"));
  reply.askedAt = timeOf(value.at("asked"));
  reply.voter = strongOf<base::VmId>(value.at("voter"));
  reply.voterIncarnation = strongOf<base::Incarnation>(value.at("run"));
  reply.answer = answerOf(value.at("answer"));
  reply.highestTerm = strongOf<base::Term>(value.at("highest"));
  reply.currentKind = kindOf(value.at("cur_kind"));
  reply.currentRowGeneration = strongOf<base::Generation>(value.at("cur_row"));
  reply.floor = strongOf<base::Generation>(value.at("floor"));
  reply.remaining = durationOf(value.at("remaining_ns"));
  return reply;
}

json toJson(const ownership::VoterStateRequest& request)
{
  return { { "server", request.server.value() },
           { "to", request.to.value() },
           { "from", request.from.value() },
           { "run", request.fromIncarnation.value() },
           { "round", request.round } };
}

ownership::VoterStateRequest voterStateRequestOf(const json& value)
{
  ownership::VoterStateRequest request;
  request.server = strongOf<base::ServerId>(value.at("server"));
  request.to = strongOf<base::VmId>(value.at("to"));
  request.from = strongOf<base::VmId>(value.at("from"));
  request.fromIncarnation = strongOf<base::Incarnation>(value.at("run"));
  request.round = value.at("round").get<std::uint64_t>();
  return request;
}

json toJson(const ownership::VoterStateReply& reply)
{
  return { { "server", reply.server.value() }, { "from", reply.from.value() },
           { "to", reply.to.value() },         { "run", reply.toIncarnation.value() },
           { "round", reply.round },           { "known", reply.known },
           { "term", reply.term.value() },     { "holder", toJson(reply.holder) },
           { "kind", kindNumber(reply.kind) }, { "row", reply.rowGeneration.value() },
           { "floor", reply.floor.value() } };
}

ownership::VoterStateReply voterStateReplyOf(const json& value)
{
  ownership::VoterStateReply reply;
  reply.server = strongOf<base::ServerId>(value.at("server"));
  reply.from = strongOf<base::VmId>(value.at("from"));
  reply.to = strongOf<base::VmId>(value.at("to"));
  reply.toIncarnation = strongOf<base::Incarnation>(value.at("run"));
  reply.round = value.at("round").get<std::uint64_t>();
  reply.known = value.at("known").get<bool>();
  reply.term = strongOf<base::Term>(value.at("term"));
  reply.holder = holderOf(value.at("holder"));
  reply.kind = kindOf(value.at("kind"));
  reply.rowGeneration = strongOf<base::Generation>(value.at("row"));
  reply.floor = strongOf<base::Generation>(value.at("floor"));
  return reply;
}

// Parses a message and converts every error to ControlError.
template<typename Decode>
auto decodeWith(const std::string& text, Decode decode)
{
  try {
    return decode(json::parse(text));
  } catch (const std::exception& error) {
    throw ControlError(std::string("malformed message from a peer: ") + error.what());
  }
}

template<typename Item, typename Decode>
std::vector<Item> listOf(const json& value, Decode decode)
{
  std::vector<Item> items;
  for (const json& item : value) {
    items.push_back(decode(item));
  }
  return items;
}

template<typename Items>
json arrayOf(const Items& items)
{
  json array = json::array();
  for (const auto& item : items) {
    array.push_back(toJson(item));
  }
  return array;
}

} // namespace

std::string encode(const Heartbeat& heartbeat)
{
  json held = json::array();
  for (const HeldLease& lease : heartbeat.held) {
    held.push_back(json::array({ lease.server.value(),
                                 lease.service.value(),
                                 lease.term.value(),
                                 kindNumber(lease.kind),
                                 lease.draining,
                                 lease.serving }));
  }
  json maps = json::object();
  for (const auto& [service, generation] : heartbeat.maps) {
    maps[service.value()] = generation.value();
  }
  const json value = { { "from", heartbeat.from.value() },
                       { "incarnation", heartbeat.incarnation.value() },
                       { "address", heartbeat.peerAddress },
                       { "domain", heartbeat.domain.value() },
                       { "leaving", heartbeat.leaving },
                       { "held", held },
                       { "config_version", heartbeat.configDigest },
                       { "map_generations", maps },
                       { "quarantine_digest", heartbeat.quarantineDigest } };
  return value.dump();
}

Heartbeat decodeHeartbeat(const std::string& text)
{
  return decodeWith(text, [](const json& value) {
    Heartbeat heartbeat;
    heartbeat.from = strongOf<base::VmId>(value.at("from"));
    heartbeat.incarnation = strongOf<base::Incarnation>(value.at("incarnation"));
    heartbeat.peerAddress = value.at("address").get<std::string>();
    heartbeat.domain = strongOf<base::DomainId>(value.at("domain"));
    heartbeat.leaving = value.at("leaving").get<bool>();
    for (const json& row : value.at("held")) {
      heartbeat.held.push_back({ strongOf<base::ServerId>(row.at(0)),
                                 strongOf<base::ServiceId>(row.at(1)),
                                 strongOf<base::Term>(row.at(2)),
                                 kindOf(row.at(3)),
                                 row.at(4).get<bool>(),
                                 row.at(5).get<bool>() });
    }
    heartbeat.configDigest = value.at("config_version").get<std::string>();
    for (const auto& [service, generation] : value.at("map_generations").items()) {
      heartbeat.maps[base::ServiceId(service)] = strongOf<base::Generation>(generation);
    }
    heartbeat.quarantineDigest = value.at("quarantine_digest").get<std::uint64_t>();
    return heartbeat;
  });
}

std::string encode(const VoteBatch& batch)
{
  return json{
    { "from", batch.from.value() },
    { "requests", arrayOf(batch.requests) },
    { "learn", arrayOf(batch.stateRequests) }
  }.dump();
}

VoteBatch decodeVoteBatch(const std::string& text)
{
  return decodeWith(text, [](const json& value) {
    VoteBatch batch;
    batch.from = strongOf<base::VmId>(value.at("from"));
    batch.requests = listOf<ownership::VoteRequest>(value.at("requests"), voteRequestOf);
    batch.stateRequests =
      listOf<ownership::VoterStateRequest>(value.at("learn"), voterStateRequestOf);
    return batch;
  });
}

std::string encode(const VoteBatchReply& reply)
{
  return json{
    { "replies", arrayOf(reply.replies) }, { "learned", arrayOf(reply.stateReplies) }
  }.dump();
}

VoteBatchReply decodeVoteBatchReply(const std::string& text)
{
  return decodeWith(text, [](const json& value) {
    VoteBatchReply reply;
    reply.replies = listOf<ownership::VoteReply>(value.at("replies"), voteReplyOf);
    reply.stateReplies = listOf<ownership::VoterStateReply>(value.at("learned"), voterStateReplyOf);
    return reply;
  });
}

std::string encode(const PermitQuery& query)
{
  return json{ { "from", query.from.value() }, { "servers", textsOf(query.servers) } }.dump();
}

PermitQuery decodePermitQuery(const std::string& text)
{
  return decodeWith(text, [](const json& value) {
    return PermitQuery{ strongOf<base::VmId>(value.at("from")),
                        idsOf<base::ServerId>(value.at("servers")) };
  });
}

std::string encode(const std::vector<ownership::Permit>& permits)
{
  json list = json::array();
  for (const ownership::Permit& permit : permits) {
    list.push_back({ { "from", permit.from.value() },
                     { "to", permit.to.value() },
                     { "term", permit.term.value() },
                     { "gen", permit.generation.value() },
                     { "shards", permit.shards.text() },
                     { "remaining_ns", permit.remaining.count() } });
  }
  return json{ { "permits", list } }.dump();
}

std::vector<ownership::Permit> decodePermits(const std::string& text)
{
  return decodeWith(text, [](const json& value) {
    return listOf<ownership::Permit>(value.at("permits"), [](const json& item) {
      ownership::Permit permit;
      permit.from = strongOf<base::ServerId>(item.at("from"));
      permit.to = strongOf<base::ServerId>(item.at("to"));
      permit.term = strongOf<base::Term>(item.at("term"));
      permit.generation = strongOf<base::Generation>(item.at("gen"));
      permit.shards = ownership::ShardSet::parse(item.at("shards").get<std::string>());
      permit.remaining = durationOf(item.at("remaining_ns"));
      return permit;
    });
  });
}

std::string encode(const ChangeOrder& order)
{
  json moves = json::array();
  for (const MoveOrder& move : order.moves) {
    moves.push_back(json::array({ move.shard.value(), move.to.value(), move.successor.value() }));
  }
  json successors = json::array();
  for (const SuccessorOrder& change : order.successors) {
    successors.push_back(json::array({ change.shard.value(), change.successor.value() }));
  }
  json merges = json::array();
  for (const base::ShardId shard : order.merges) {
    merges.push_back(shard.value());
  }
  return json{
    { "service", order.service.value() },
    { "server", order.server.value() },
    { "generation", order.generation.value() },
    { "moves", moves },
    { "successors", successors },
    { "merges", merges },
    { "voters", textsOf(order.voters) }
  }.dump();
}

ChangeOrder decodeChangeOrder(const std::string& text)
{
  return decodeWith(text, [](const json& value) {
    ChangeOrder order;
    order.service = strongOf<base::ServiceId>(value.at("service"));
    order.server = strongOf<base::ServerId>(value.at("server"));
    order.generation = strongOf<base::Generation>(value.at("generation"));
    order.moves = listOf<MoveOrder>(value.at("moves"), [](const json& item) {
      return MoveOrder{ strongOf<base::ShardId>(item.at(0)),
                        strongOf<base::ServerId>(item.at(1)),
                        strongOf<base::ServerId>(item.at(2)) };
    });
    order.successors = listOf<SuccessorOrder>(value.at("successors"), [](const json& item) {
      return SuccessorOrder{ strongOf<base::ShardId>(item.at(0)),
                             strongOf<base::ServerId>(item.at(1)) };
    });
    order.merges = listOf<base::ShardId>(value.at("merges"), strongOf<base::ShardId>);
    order.voters = idsOf<base::VmId>(value.at("voters"));
    return order;
  });
}

std::string encode(const std::vector<requests::QuarantineRecord>& records, TimePoint now)
{
  json list = json::array();
  for (const requests::QuarantineRecord& record : records) {
    json evidence = json::array();
    for (const requests::CrashEvidence& crash : record.evidence) {
      evidence.push_back({ { "server", crash.server.value() },
                           { "run", crash.incarnation.value() },
                           { "domain", crash.domain.value() },
                           { "alone", crash.ranAlone },
                           { "stamp_ms", crash.timestamp.time_since_epoch().count() },
                           { "remaining_ns", (crash.expiresAt - now).count() } });
    }
    list.push_back({ { "subject", record.subject },
                     { "evidence", evidence },
                     { "cleared_ms", record.clearedAt.time_since_epoch().count() },
                     { "cleared_ns", (record.clearanceExpiresAt - now).count() } });
  }
  return json{ { "verdicts", list } }.dump();
}

std::vector<requests::QuarantineRecord> decodeQuarantine(const std::string& text, TimePoint now)
{
  return decodeWith(text, [now](const json& value) {
    return listOf<requests::QuarantineRecord>(value.at("verdicts"), [now](const json& item) {
      const auto stampOf = [](const json& millis) {
        return requests::WallTime(std::chrono::milliseconds(millis.get<std::int64_t>()));
      };
      requests::QuarantineRecord record;
      record.subject = item.at("subject").get<std::string>();
      record.evidence =
        listOf<requests::CrashEvidence>(item.at("evidence"), [&](const json& entry) {
          requests::CrashEvidence crash;
          crash.server = strongOf<base::ServerId>(entry.at("server"));
          crash.incarnation = strongOf<base::Incarnation>(entry.at("run"));
          crash.domain = strongOf<base::DomainId>(entry.at("domain"));
          crash.ranAlone = entry.at("alone").get<bool>();
          crash.timestamp = stampOf(entry.at("stamp_ms"));
          crash.expiresAt = now + durationOf(entry.at("remaining_ns"));
          return crash;
        });
      record.clearedAt = stampOf(item.at("cleared_ms"));
      record.clearanceExpiresAt = now + durationOf(item.at("cleared_ns"));
      return record;
    });
  });
}

} // namespace sycamore::control

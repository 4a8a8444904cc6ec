#pragma once

#include <operators/ChangeReply.h>
#include <operators/DomainMessages.h>
#include <operators/PlacementMessages.h>
#include <operators/QuarantineMessages.h>
#include <operators/ServiceMessages.h>
#include <operators/StatusMessages.h>

#include <nlohmann/json.hpp>

#include <concepts>
#include <type_traits>

namespace sycamore::operators {

// JSON conversion of the public message structures. JSON is the intermediate form between them and
// the protobuf messages. Field names are the lowerCamelCase names that protobuf derives from the
// schema.

NLOHMANN_JSON_SERIALIZE_ENUM(ReplyOutcome,
                             { { ReplyOutcome::Unspecified, "OUTCOME_UNSPECIFIED" },
                               { ReplyOutcome::Confirmed, "CONFIRMED" },
                               { ReplyOutcome::Conflict, "CONFLICT" },
                               { ReplyOutcome::InDoubt, "IN_DOUBT" },
                               { ReplyOutcome::Refused, "REFUSED" },
                               { ReplyOutcome::Planned, "PLANNED" } })

// Conversions of messages without fields. The names are those that nlohmann::json looks up.
// NOLINTBEGIN(readability-identifier-naming)
template<typename Empty>
requires std::is_empty_v<Empty> && std::is_aggregate_v<Empty>
void to_json(nlohmann::json& json, const Empty&)
{
  json = nlohmann::json::object();
}
template<typename Empty>
requires std::is_empty_v<Empty> && std::is_aggregate_v<Empty>
void from_json(const nlohmann::json&, Empty&) {}
// NOLINTEND(readability-identifier-naming)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Fault, path, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FieldDifference, path, yours, theirs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlannedMove, shard, from, to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChangeReply,
                                   outcome,
                                   version,
                                   message,
                                   faults,
                                   differences,
                                   current,
                                   writer,
                                   moves)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoredObject, name, version, document, deleted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceChange, service, baseVersion, document, dryRun)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceDeletion, service, baseVersion, dryRun)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceQuery, service)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceList, services)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DomainRow, domain, state, version, entryVms, servers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DomainList, domains)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DomainChange, domain, baseVersion, reason, dryRun)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardRow, shard, key, owner, successor)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Placement, service, generation, shards)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MovePlan, service, baseVersion, shards, from, to, dryRun)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServerDrain, service, server, baseVersion, dryRun)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyQuery, service, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyExplanation,
                                   service,
                                   shard,
                                   hotKey,
                                   owner,
                                   sinceGeneration,
                                   sinceMs,
                                   why,
                                   successor,
                                   holder,
                                   term,
                                   state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OwnerRow, service, server, domain, shards, hotKeys)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OwnerList, owners)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TenancyRow,
                                   service,
                                   server,
                                   holder,
                                   term,
                                   kind,
                                   voters,
                                   remainingMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TenancyList, tenancies)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MoveRow, service, shard, from, to, why, state, ageMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MoveList, moves)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Verdict,
                                   id,
                                   version,
                                   service,
                                   method,
                                   crashes,
                                   expiresInMs,
                                   reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuarantineList, verdicts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuarantineLift, id, baseVersion, dryRun)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VmConfigRow, vm, domain, digest, inSync, heardMsAgo)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UnusableObject, name, version, versionInUse, faults)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ObjectVersion, name, version, deleted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigStatus, vms, objects, unusable, platformReachable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BurnReportRequest, service, html)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BurnRow,
                                   service,
                                   window,
                                   goodRatio,
                                   objective,
                                   burnRate,
                                   requests)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BurnReport, rows, html)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogLevelChange, level)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VersionReply, version, vm)

} // namespace sycamore::operators

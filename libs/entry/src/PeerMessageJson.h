#pragma once

#include <entry/PeerMessage.h>

#include <nlohmann/json.hpp>

namespace sycamore::entry {

using Json = nlohmann::json;

// Type of the message, its first field. Those of load messages stand beside their codecs.
inline constexpr int kHeartbeat = 1;
inline constexpr int kReport = 2;
inline constexpr int kCoordinatorStopped = 3;
inline constexpr int kOwnershipDelta = 4;
inline constexpr int kObjectChange = 5;
inline constexpr int kForward = 6;
inline constexpr int kServerLimit = 9;
inline constexpr int kPermitRequest = 10;
inline constexpr int kPermitGrant = 11;
inline constexpr int kQuotaQuestions = 13;
inline constexpr int kQuotaLoans = 14;

dispatch::ServerIncarnation readIncarnation(const Json& row);
Json writeLimitedServers(const std::vector<dispatch::LimitedServer>& servers);
std::vector<dispatch::LimitedServer> readLimitedServers(const Json& rows);

// Convert the messages about servers' limits and workspaces' quotas. Reading throws
// Json::exception if the message isn't of the expected form.
Json toJson(const ServerLimitMessage& message);
ServerLimitMessage readServerLimit(const Json& json);
Json toJson(const PermitRequestMessage& message);
PermitRequestMessage readPermitRequest(const Json& json);
Json toJson(const PermitGrantMessage& message);
PermitGrantMessage readPermitGrant(const Json& json);
Json toJson(const QuotaQuestionsMessage& message);
QuotaQuestionsMessage readQuotaQuestions(const Json& json);
Json toJson(const QuotaLoansMessage& message);
QuotaLoansMessage readQuotaLoans(const Json& json);

} // namespace sycamore::entry

#pragma once

#include <entry/PeerMessage.h>

#include <nlohmann/json.hpp>

namespace sycamore::entry {

// Types of the messages that share load between entry VMs, see PeerMessage.cpp.
inline constexpr int kServerUseType = 7;
inline constexpr int kLoadSummaryType = 8;
inline constexpr int kDomainSumsType = 12;

// Durations are sent in whole milliseconds, which take few bytes.
std::int64_t toMilliseconds(base::Duration duration);

// Convert the messages to JSON and back. Reading throws if the JSON isn't such a message.
nlohmann::json toJson(const ServerUseMessage& message);
nlohmann::json toJson(const LoadSummaryMessage& message);
nlohmann::json toJson(const DomainSumsMessage& message);
ServerUseMessage readServerUse(const nlohmann::json& json);
LoadSummaryMessage readLoadSummary(const nlohmann::json& json);
DomainSumsMessage readDomainSums(const nlohmann::json& json);

// Convert a heartbeat's addresses of the VMs that aggregate load.
nlohmann::json writeLoadAggregators(const HeartbeatMessage& message);
void readLoadAggregators(const nlohmann::json& json, HeartbeatMessage& message);

} // namespace sycamore::entry

#pragma once

#include <control/PeerMessages.h>
#include <requests/QuarantineRecord.h>

#include <base/Time.h>

#include <string>
#include <vector>

namespace sycamore::control {

// JSON codec of the messages between entry VMs. Every decode function throws ControlError for a
// malformed message. Unknown fields are ignored, so that entry VMs of different versions can work
// together during an update.

std::string encode(const Heartbeat& heartbeat);
std::string encode(const VoteBatch& batch);
std::string encode(const VoteBatchReply& reply);
std::string encode(const PermitQuery& query);
std::string encode(const std::vector<ownership::Permit>& permits);
std::string encode(const ChangeOrder& order);
// Expiry times are sent as the remaining time, since VMs do not share a steady clock.
std::string encode(const std::vector<requests::QuarantineRecord>& records, base::TimePoint now);

Heartbeat decodeHeartbeat(const std::string& text);
VoteBatch decodeVoteBatch(const std::string& text);
VoteBatchReply decodeVoteBatchReply(const std::string& text);
PermitQuery decodePermitQuery(const std::string& text);
std::vector<ownership::Permit> decodePermits(const std::string& text);
ChangeOrder decodeChangeOrder(const std::string& text);
std::vector<requests::QuarantineRecord> decodeQuarantine(const std::string& text,
                                                         base::TimePoint now);

} // namespace sycamore::control

#pragma once

#include <entry/ObjectChange.h>

#include <dispatch/CoordinatorElection.h>
#include <dispatch/KeyReport.h>
#include <dispatch/LeavingServers.h>
#include <dispatch/LoadAggregator.h>
#include <dispatch/OwnershipCopy.h>
#include <dispatch/PermitIssuer.h>
#include <dispatch/QuotaLoan.h>
#include <dispatch/ReportEcho.h>
#include <dispatch/ServerLimits.h>
#include <dispatch/ServiceDemand.h>
#include <dispatch/WorkMean.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamore::entry {

// A server connection that broke while running a request, see CrashSuspects.
struct ConnectionBreak
{
  std::uint64_t digest = 0;
  std::string serverIncarnation;

  bool operator==(const ConnectionBreak&) const = default;
};

// Message from the coordinator to every other entry VM, sent several times a second.
struct HeartbeatMessage
{
  dispatch::CoordinatorHeartbeat heartbeat;
  // The receiver's rank in the order of succession, and the number of live entry VMs.
  unsigned rank = 0;
  unsigned entryVms = 1;
  // Revision of the ownership record.
  std::uint64_t revision = 0;
  std::vector<ConnectionBreak> connectionBreaks;
  // Whether the coordinator watches the store for all VMs, and the revision at which each watched
  // kind last changed.
  bool isRelay = false;
  std::vector<std::uint64_t> lastChangeRevisions;
  // Registered servers that have said in an answer that they leave. Each message repeats them,
  // since any may be lost; at most some dozens are sent.
  std::vector<dispatch::ServerIncarnation> leavingServers;
  // Servers that name a limit in their answers; all of them are named in turn.
  dispatch::LimitedServersPage limitedServers;
  // IP address of the VM that aggregates the load for the receiver's failure domain; empty if none
  // is known. That VM is also told those of the other domains.
  std::string loadAggregator;
  std::vector<std::string> otherLoadAggregators;
  // How current the coordinator's copy of the configuration is. Sent only in deployments in which
  // the validity of keys depends on it.
  std::optional<dispatch::ReportEcho> configurationEcho;
};

// Message from every other entry VM to the coordinator, sent at regular intervals.
struct ReportMessage
{
  base::VmId vm;
  base::DomainId domain;
  std::uint64_t run = 0;
  // Processor cores that its process may use.
  double capacity = 1;
  dispatch::KeyReports keys;
  std::map<base::ServerId, dispatch::WorkSample> work;
  std::vector<ConnectionBreak> connectionBreaks;
  // Registered servers that have said in an answer that they leave, as in a heartbeat.
  std::vector<dispatch::ServerIncarnation> leavingServers;
  // Whether the process is about to end.
  bool leaving = false;
  // Returned in HeartbeatMessage::configurationEcho; 0 if the sender gave none.
  dispatch::ReportStamp sentAt = 0;
};

// Message from a coordinator that has been replaced to its successor: the sender has stopped
// granting.
struct CoordinatorStoppedMessage
{
  std::uint64_t epoch = 0;
  // Times after which all coordinators before the sender have stopped granting too, and after which
  // all unanswered grants of the sender and of them have expired.
  base::Duration previousCoordinatorsStopIn{};
  base::Duration unansweredGrantsExpireIn{};
};

// Message from the coordinator to every other entry VM after each change of the ownership record.
struct OwnershipDeltaMessage
{
  dispatch::OwnershipDelta delta;
};

// Message from the coordinator to every other entry VM after each change of the objects that it
// watches.
struct ObjectChangeMessage
{
  ObjectChange change;
};

// Message from the coordinator to a VM of another failure domain, which passes the enclosed message
// on to the given VMs as it is.
struct ForwardMessage
{
  // IP addresses of the receivers. The VM that forwards may be one of them.
  std::vector<std::string> receivers;
  // The encoded message.
  std::string message;
};

// Message from an entry VM to the one that aggregates the load for its failure domain, sent at
// regular intervals: its use of the servers, and the demand since its last message.
struct ServerUseMessage
{
  std::map<base::ServerId, dispatch::ServerUse> servers;
  std::map<base::ServiceId, dispatch::ServiceDemand> demand;
};

// Message between the VMs that aggregate the load for their failure domains, sent at regular
// intervals.
struct DomainSumsMessage
{
  base::DomainId domain;
  dispatch::DomainSums sums;
};

// Answer to the VMs of the domain that report their use of the servers.
struct LoadSummaryMessage
{
  dispatch::LoadSummary summary;
};

// Message from an entry VM to the coordinator: an answer of a server named a limit, or the answer
// of a limited server named none.
struct ServerLimitMessage
{
  dispatch::ServerIncarnation server;
  std::optional<dispatch::RequestLimit> limit;
};

// Message from an entry VM to the coordinator that asks for permits to send requests to a server.
struct PermitRequestMessage
{
  dispatch::PermitQuestion question;
};

// The coordinator's answer to a PermitRequestMessage.
struct PermitGrantMessage
{
  dispatch::ServerIncarnation server;
  dispatch::PermitGrant grant;
};

// Message from an entry VM to the coordinator that asks for loans of workspaces' quotas. `run`
// identifies the run of its process.
struct QuotaQuestionsMessage
{
  std::uint64_t run = 0;
  dispatch::QuotaQuestions questions;
};

// The coordinator's answer to a QuotaQuestionsMessage.
struct QuotaLoansMessage
{
  dispatch::QuotaLoans loans;
};

// Number of limited servers that fit into a heartbeat, which is one datagram.
inline constexpr std::size_t kMaxLimitedServers = 24;

using PeerMessage = std::variant<HeartbeatMessage,
                                 ReportMessage,
                                 CoordinatorStoppedMessage,
                                 OwnershipDeltaMessage,
                                 ObjectChangeMessage,
                                 ForwardMessage,
                                 ServerUseMessage,
                                 LoadSummaryMessage,
                                 ServerLimitMessage,
                                 PermitRequestMessage,
                                 PermitGrantMessage,
                                 DomainSumsMessage,
                                 QuotaQuestionsMessage,
                                 QuotaLoansMessage>;

// Convert a message to the bytes of a datagram and back. Decoding returns nothing if the bytes
// aren't a message.
std::string encodePeerMessage(const PeerMessage& message);
std::optional<PeerMessage> decodePeerMessage(const std::string& bytes);

// Returns the name of the message's kind, for metrics.
const char* kindNameOf(const PeerMessage& message);

} // namespace sycamore::entry

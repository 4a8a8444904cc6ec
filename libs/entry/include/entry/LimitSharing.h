#pragma once

#include <entry/EventLog.h>
#include <entry/PeerLink.h>

#include <dispatch/PermitIssuer.h>
#include <dispatch/ServerLimits.h>

#include <functional>
#include <optional>
#include <vector>

namespace sycamore::entry {

// This VM's part in keeping the limits that servers name in their answers: gathers the limits and
// gives out permits as the coordinator, or reports and asks there. Control thread only.
class LimitSharing
{
public:
  // Notified of each answer to a question for permits of this VM.
  using GrantListener =
    std::function<void(const dispatch::ServerIncarnation&, const dispatch::PermitGrant&)>;

  LimitSharing(PeerLink& peerLink, EventLog& log, GrantListener grantListener);

  // Sets the coordinator; nothing while none is known.
  void setCoordinator(std::optional<PeerAddress> coordinator) { coordinator_ = coordinator; }
  // Sets whether this VM is the coordinator and, if so, whether no other VM can be giving out
  // permits at this time.
  void setRole(bool isCoordinator, bool isSoleIssuer, base::TimePoint now);

  // An answer to this VM named this limit, or none where there was one.
  void onAnswer(const dispatch::ServerIncarnation& server,
                std::optional<dispatch::RequestLimit> limit,
                base::TimePoint now);
  void requestPermits(const PermitRequestMessage& request, base::TimePoint now);

  void onMessage(const ServerLimitMessage& message, base::TimePoint now);
  void onMessage(const PermitRequestMessage& message, const PeerAddress& from, base::TimePoint now);
  void onMessage(const PermitGrantMessage& message);
  // A page of the coordinator's list of servers with a limit arrived.
  void onPage(const dispatch::LimitedServersPage& page, base::TimePoint now);
  // Returns the page for the next heartbeat of this coordinator.
  dispatch::LimitedServersPage nextPage() { return limits_.nextPage(kMaxLimitedServers); }

  // Forgets the limits of servers that have ended.
  void retain(const std::map<base::ServerId, dispatch::BackendServer>& registered);

  // Returns the known limits. They have changed if takeChange() returns true.
  std::vector<dispatch::LimitedServer> list() const { return limits_.list(); }
  bool takeChange();

private:
  PermitGrantMessage grant(const PermitRequestMessage& request, base::TimePoint now);

  PeerLink& peerLink_;
  EventLog& log_;
  GrantListener grantListener_;
  std::optional<PeerAddress> coordinator_;
  dispatch::ServerLimits limits_;
  dispatch::PermitIssuer issuer_;
  bool isCoordinator_ = false;
  bool isSoleIssuer_ = false;
  bool hasChanged_ = false;
};

} // namespace sycamore::entry

#pragma once

#include <entry/ByteCounts.h>
#include <entry/ChangeRelay.h>
#include <entry/ControlStatus.h>
#include <entry/CoordinatorHandover.h>
#include <entry/CoordinatorRole.h>
#include <entry/Dispatcher.h>
#include <entry/HeartbeatSender.h>
#include <entry/LimitSharing.h>
#include <entry/LoadSharing.h>
#include <entry/ObjectMirrors.h>
#include <entry/OwnershipMirror.h>
#include <entry/PeerLink.h>
#include <entry/QuotaSharing.h>
#include <entry/ReportSender.h>
#include <entry/RoutingViewPublisher.h>
#include <entry/SteadyTime.h>
#include <entry/Succession.h>
#include <entry/VmRegistry.h>

#include <dispatch/EntrySettings.h>
#include <dispatch/EntryVmRecord.h>
#include <dispatch/PeerTable.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sycamore::entry {

// The control plane of an entry VM: follows configuration, servers and ownership in the store,
// exchanges messages with the other entry VMs, and acts as the coordinator when elected. Publishes
// what the traffic thread needs as immutable views. Control thread only.
class EntryControl
{
public:
  using RemoteBreakListener = std::function<void(const ConnectionBreak&)>;

  // `run` is a random number that identifies this run of the process.
  EntryControl(asio::io_context& context,
               const dispatch::EntrySettings& settings,
               EventLog& log,
               std::uint64_t run,
               RoutingViewPublisher::Publish publish,
               RemoteBreakListener remoteBreakListener,
               LoadSharing::SummaryListener sharedLoadListener,
               LimitSharing::GrantListener permitListener,
               QuotaSharing::LoanListener loanListener);

  void start();

  // Adds the traffic thread's measurements since its last report.
  void recordTraffic(TrafficReport report);
  // Records requests by key some of which are hot, so that the coordinator learns of them earlier.
  void recordHotKeys(const dispatch::KeyReports& keys);
  void onConnectionBreak(const ConnectionBreak& connectionBreak);
  // Servers have said in answers to this VM or another one that they leave.
  void onServersLeaving(const std::vector<dispatch::ServerIncarnation>& servers)
  {
    viewPublisher_.onServersLeaving(servers);
  }

  // An answer to this VM named this limit, or none where there was one.
  void onServerLimit(const dispatch::ServerIncarnation& server,
                     std::optional<dispatch::RequestLimit> limit);
  // This VM needs permits for requests to a server with a limit.
  void requestPermits(const dispatch::PermitQuestion& question);

  // This VM asks for loans of workspaces' quotas.
  void askForQuota(const dispatch::QuotaQuestions& questions);

  // Prepares for the end of the process, so that another VM becomes the coordinator.
  void beginDrain();

  // Uses another address of the store from now on.
  void setStore(const dispatch::Endpoint& store) { store_.setEndpoint(store); }

  ControlStatus status() const;

private:
  void onVmRegistered(const base::VmId& vm, const dispatch::EntryVmRecord& record);
  void onVmsListed();
  void onConfiguration(const ObjectMirror::Objects& objects);
  void onServers(const ObjectMirror::Objects& objects);
  // The store has come back from a copy. What the VM has seen of ends of servers stays known.
  void onStoreRestored(std::uint64_t era);
  void onChangeRead(const ObjectChange& change);
  void onOwnershipChanged();
  void onRecordConfirmed(const dispatch::OwnershipRecord& record,
                         const dispatch::OwnershipDelta& delta);
  void onPeerMessage(const PeerMessage& message, const std::string& from);
  void onHeartbeat(const HeartbeatMessage& message, const std::string& from);
  void onCoordinatorStopped(const CoordinatorStoppedMessage& message);
  void resignTo(const PeerAddress& successor);
  void adoptFreshness(const HeartbeatMessage& message);
  void onReport(const ReportMessage& message, const std::string& from);
  void tick();
  void sendHeartbeats(base::TimePoint now);
  HeartbeatMessage heartbeat(base::TimePoint now);
  void updateCoordinator();
  void updateLimits(base::TimePoint now);
  void updateQuotas(base::TimePoint now);
  void reportIfDue(base::TimePoint now);
  PeerAddress addressOf(const dispatch::Coordinator& coordinator) const;
  // Records measurements, as coordinator at once, otherwise for the next report to it.
  void record(const dispatch::KeyReports& keys,
              const std::map<base::ServerId, dispatch::WorkSample>& work);
  const dispatch::RoutingView& view() const { return viewPublisher_.view(); }

  dispatch::EntrySettings settings_;
  EventLog& log_;
  RoutingViewPublisher viewPublisher_;
  RemoteBreakListener remoteBreakListener_;
  dispatch::Coordinator self_;
  ByteCounts bytes_;
  CallClient calls_;
  StoreClient store_;
  PeerLink peerLink_;
  dispatch::PeerTable peerTable_;
  ChangeRelay changeRelay_;
  HeartbeatSender heartbeatSender_;
  CoordinatorHandover handover_;
  ReportSender reportSender_;
  LoadSharing loadSharing_;
  LimitSharing limitSharing_;
  QuotaSharing quotaSharing_;
  CoordinatorRole coordinatorRole_;
  Succession succession_;
  ObjectMirrors mirrors_;
  OwnershipMirror ownership_;
  asio::steady_timer tickTimer_;
  VmRegistry vmRegistry_;
  bool leaving_ = false;
};

} // namespace sycamore::entry

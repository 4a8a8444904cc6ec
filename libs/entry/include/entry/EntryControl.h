#pragma once

#include <entry/ControlStatus.h>
#include <entry/CoordinatorDuty.h>
#include <entry/Dispatcher.h>
#include <entry/ObjectMirror.h>
#include <entry/PeerLink.h>

#include <dispatch/CoordinatorElection.h>
#include <dispatch/EntrySettings.h>
#include <dispatch/EntryVmRecord.h>
#include <dispatch/OwnershipCopy.h>
#include <dispatch/RoutingView.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sycamore::entry {

// The control side of an entry VM: follows configuration, servers and ownership in the store, talks
// to the other entry VMs, and is the coordinator when elected. Publishes what traffic needs as
// immutable views. Control thread only.
class EntryControl
{
public:
  using Publish = std::function<void(std::shared_ptr<const dispatch::RoutingView>)>;
  using RemoteBreak = std::function<void(const ConnectionBreak&)>;

  EntryControl(asio::io_context& context,
               const dispatch::EntrySettings& settings,
               EventLog& log,
               std::uint64_t run,
               Publish publish,
               RemoteBreak remoteBreak);

  void start();

  // What traffic has counted since the last report.
  void recordTraffic(TrafficReport report);
  void onConnectionBreak(const ConnectionBreak& entry);

  // The process will end: another VM should become the coordinator.
  void beginDrain();

  // The settings name another address of the store.
  void setStore(const dispatch::Endpoint& store) { store_.setEndpoint(store); }

  ControlStatus status() const;

private:
  struct Peer
  {
    std::string address;
    double capacity = 1;
    std::uint64_t run = 0;
    base::TimePoint lastHeard;
  };

  void registerSelf(std::uint64_t revision);
  void onRegistered(const StoreAnswer& answer);
  std::string registration() const;
  // Reads the page of registered entry VMs after this name, and the pages that follow.
  void listPeers(const std::string& after = "");
  void onConfiguration(const ObjectMirror::Objects& objects);
  void onServers(const ObjectMirror::Objects& objects);
  void onDomainsOut(const ObjectMirror::Objects& objects);
  std::vector<std::string> peerAddresses() const;
  void relay(const ObjectChange& change);
  void onChange(const ObjectChange& change);
  void readOwnership();
  void readOwnership(wire::Reading reading);
  void onOwnershipRead(const StoreAnswer& answer, wire::Reading reading);
  void adoptRecord(dispatch::OwnershipRecord record, std::uint64_t revision);
  void onOwnershipChanged();
  void onConfirmed(const dispatch::OwnershipRecord& record, const dispatch::OwnershipDelta& delta);
  void onPeer(const PeerMessage& message, const std::string& from);
  void onBeat(const BeatMessage& message, const std::string& from);
  void onReport(const ReportMessage& message, const std::string& from);
  void tick();
  void sendBeats(base::TimePoint now);
  std::vector<dispatch::Candidate> successors(base::TimePoint now) const;
  bool handsOver() const;
  void considerHandover(const std::vector<dispatch::Candidate>& order, base::TimePoint now);
  void sendReport();
  void feedCoordinator();
  void countForCoordinator(const std::map<base::ServiceId, dispatch::KeyCounts>& keys,
                           const std::map<base::ServerId, dispatch::WorkSample>& work);
  void publish();
  void setEntryVms(std::size_t count);
  std::size_t sharers(base::TimePoint now) const;

  dispatch::EntrySettings settings_;
  EventLog& log_;
  Publish publish_;
  RemoteBreak remoteBreak_;
  dispatch::Coordinator self_;
  CallClient calls_;
  StoreClient store_;
  PeerLink peers_;
  CoordinatorDuty duty_;
  dispatch::CoordinatorElection election_;
  ObjectMirror configurationMirror_;
  ObjectMirror serversMirror_;
  ObjectMirror domainsOutMirror_;
  // All of them, in the order of the messages between entry VMs.
  std::array<ObjectMirror*, 3> mirrors_;
  dispatch::OwnershipCopy ownership_;
  asio::steady_timer tickTimer_;
  asio::steady_timer registerTimer_;
  dispatch::RoutingView view_;
  // Decoded servers, with the revision of the object that each was decoded from.
  std::map<std::string, std::uint64_t> serverRevisions_;
  std::map<base::VmId, Peer> peerTable_;
  // Counts that wait for the next report to the coordinator.
  TrafficReport pendingReport_;
  std::vector<ConnectionBreak> pendingBreaks_;
  unsigned rank_ = 0;
  base::TimePoint nextBeat_{};
  base::TimePoint nextReport_{};
  // Epoch of the coordinator's duty for which the peers were listed.
  std::uint64_t listedEpoch_ = 0;
  bool leaving_ = false;
  // Epoch in which this VM has wanted another one to take the coordinator's duty; 0 if it hasn't.
  // Once in a run: a successor that can't reach the store would make the duty go round.
  std::uint64_t handoverEpoch_ = 0;
  base::TimePoint dutySince_{};
  base::TimePoint coordinatorHeard_ = base::SteadyClock().now();
};

} // namespace sycamore::entry

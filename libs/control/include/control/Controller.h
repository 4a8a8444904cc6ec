#pragma once

#include <control/ConfigController.h>
#include <control/ControlContext.h>
#include <control/LoadRecorder.h>
#include <control/MapController.h>
#include <control/OwnershipController.h>
#include <control/PlatformReader.h>
#include <router/RoutingPublisher.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace sycamore::control {

struct ControllerSettings
{
  ownership::HolderId self;
  base::DomainId domain;
  std::string peerAddress;
  std::string platformAddress;
  // Peer addresses ("ip:port") of the entry VMs that are contacted until the platform's VM list is
  // known.
  std::vector<std::string> seedPeers;
};

// All control state of an entry VM: membership, configuration, shard maps and server leases. Every
// method but the constructor and loads() is called on the control thread.
class Controller
  : private OwnershipEvents
  , private MapEvents
  , private PlatformListener
{
public:
  Controller(ControllerSettings settings,
             ControlIo& io,
             router::DispatcherTable& dispatchers,
             router::QuarantineRegistry& quarantine,
             router::RoutingPublisher& routing,
             std::function<void(const std::string&)> log);
  ~Controller() override;

  // Called every 20 ms.
  void tick();

  // Answer messages from peers. Bodies and answers are JSON (docs/design.md section 5). They throw
  // ControlError if the body is malformed.
  std::string answerHeartbeat(const std::string& body);
  std::string answerVotes(const std::string& body);
  std::string answerPermits(const std::string& body);
  std::string answerConfig(const std::string& body);
  std::string answerMap(const std::string& body);
  std::string answerQuarantine(const std::string& body);
  std::string answerMove(const std::string& body);
  std::string answerLoad(const std::string& body);

  // Starts to hand this VM's server leases over to its peers, before it leaves. Called once.
  void beginLeaving();
  // Returns whether this VM has handed over all active server leases.
  bool hasLeft() const;

  // Returns whether requests can be routed: the configuration and the maps of all services are
  // known, and this VM is not leaving.
  bool isReady() const;

  // Starts changes that an operator requested.
  void requestChange(const ChangeOrder& order) { orderChange(order); }

  // Returns the recorder in which traffic threads count requests. Thread-safe.
  LoadRecorder& loads() { return loads_; }

  ConfigController& config() { return config_; }
  MapController& maps() { return maps_; }
  OwnershipController& ownership() { return ownership_; }
  membership::MemberTable& members() { return members_; }
  const ControlCounters& counters() const { return counters_; }
  bool isPlatformReachable() const { return platform_.isReachable(); }
  const base::VmId& self() const { return context_.self.vm; }

private:
  // OwnershipEvents.
  void writeMap(const base::ServiceId& service,
                const base::ServerId& server,
                const ownership::WriteMap& change) override;
  void advanceGeneration(const base::ServiceId& service,
                         const base::ServerId& server,
                         base::Generation base) override;
  void onChangeResolved(const base::ServerId& server) override;
  void onHoldersChanged() override;
  // MapEvents.
  void onMapAdopted(const base::ServiceId& service) override;
  void onGenerationAdvanced(const std::set<base::ServerId>& servers,
                            base::Generation generation) override;
  void orderChange(const ChangeOrder& order) override;
  bool isEvicted(const base::ServerId& server) const override;
  bool isDraining(const base::ServerId& server) const override;
  bool isServing(const base::ServerId& server) const override;
  // PlatformListener.
  void onVmList(const std::vector<membership::ListedVm>& list) override;
  void onConfig(const std::vector<PlatformObject>& objects) override;
  void onMaps(const std::vector<PlatformObject>& objects, bool isComplete) override;

  void onConfigAdopted();
  Heartbeat makeHeartbeat() const;
  void onHeartbeat(const Heartbeat& heartbeat);
  void sendHeartbeat(const std::string& address);
  void sendHeartbeats();
  void notifyPeer(const base::VmId& peer);
  void fetchMap(const base::VmId& peer, const base::ServiceId& service);
  void sendQuarantine(const base::VmId& peer);
  void executeOrder(const ChangeOrder& order);
  // Sends the request rates that this VM measured to the planners of the services.
  void reportLoads();
  void sendLoad(const base::VmId& planner, LoadReport report);
  void recordLoads(LoadReport report);
  bool knowsAllRoutes() const;
  void publishRoutes();
  router::ServerRoute routeOf(const base::ServiceId& service,
                              const placement::MapServer& server) const;
  bool acceptsNewWork(const base::ServerId& server, const base::DomainId& domain) const;

  const ControllerSettings settings_;
  ControlCounters counters_;
  membership::MemberTable members_;
  ControlContext context_;
  router::RoutingPublisher& routing_;
  router::QuarantineRegistry& quarantine_;
  ConfigController config_;
  MapController maps_;
  OwnershipController ownership_;
  LoadRecorder loads_;
  PlatformReader platform_;
  bool routesDirty_ = true;
  bool heartbeatDue_ = false;
  bool leaving_ = false;
  bool configKnown_ = false;
  bool mapsKnown_ = false;
  // Set once routes to all known services have been published; never reset.
  bool routesReady_ = false;
  base::TimePoint nextHeartbeat_;
  base::TimePoint nextRoutes_;
  base::TimePoint nextLoads_;
  std::set<std::pair<base::VmId, base::ServiceId>> mapFetches_;
  // Time since which a server drains, leaves, or has its failure domain out of service.
  std::map<base::ServerId, base::TimePoint> leavingSince_;
};

} // namespace sycamore::control

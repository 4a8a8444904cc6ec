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

// Settings of the control state.
struct ControllerSettings
{
  ownership::HolderId self;
  base::DomainId domain;
  std::string peerAddress;
  std::string platformAddress;
  // Entry VMs to ask before the platform's list is known, "ip:port" of their peer ports.
  std::vector<std::string> seedPeers;
};

// All control state of an entry VM: membership, configuration, shard maps, tenancies. Lives on the
// control thread; every method but the constructor and loads() is called there.
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

  // Messages of peers; bodies and answers are JSON (docs/design.md section 5). They throw
  // ControlError for malformed ones.
  std::string answerHeartbeat(const std::string& body);
  std::string answerVotes(const std::string& body);
  std::string answerPermits(const std::string& body);
  std::string answerConfig(const std::string& body);
  std::string answerMap(const std::string& body);
  std::string answerQuarantine(const std::string& body);
  std::string answerMove(const std::string& body);
  std::string answerLoad(const std::string& body);

  // This VM leaves: peers take over its duties. Called once.
  void beginLeaving();
  // Whether all duties are handed over.
  bool hasLeft() const;

  // Whether requests can be routed: configuration is known, and so are the maps of all services.
  bool isReady() const;

  // An operator asks for planned moves.
  void requestChange(const ChangeOrder& order) { orderChange(order); }

  // Where traffic threads count requests. Safe from all threads.
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
  void bumpMap(const base::ServiceId& service,
               const base::ServerId& server,
               base::Generation base) override;
  void changeResolved(const base::ServerId& server) override;
  void holdersChanged() override;
  // MapEvents.
  void mapAdopted(const base::ServiceId& service) override;
  void bumpWritten(const std::set<base::ServerId>& servers, base::Generation generation) override;
  void orderChange(const ChangeOrder& order) override;
  bool isEvicted(const base::ServerId& server) const override;
  bool isDraining(const base::ServerId& server) const override;
  bool isServing(const base::ServerId& server) const override;
  // PlatformListener.
  void onVmList(const std::vector<membership::ListedVm>& list) override;
  void onConfig(const std::vector<PlatformObject>& objects) override;
  void onMaps(const std::vector<PlatformObject>& objects, bool whole) override;

  void onConfigAdopted();
  Heartbeat makeHeartbeat() const;
  void onHeartbeat(const Heartbeat& heartbeat);
  void sendHeartbeat(const std::string& address);
  void sendHeartbeats();
  void tellPeer(const base::VmId& peer);
  void fetchMap(const base::VmId& peer, const base::ServiceId& service);
  void tellQuarantine(const base::VmId& peer);
  void executeOrder(const ChangeOrder& order);
  // Sends the counts of this VM to the planners of their services.
  void reportLoads();
  void sendLoad(const base::VmId& planner, LoadReport report);
  void takeLoad(LoadReport report);
  bool knowsAllRoutes() const;
  void publishRoutes();
  router::ServerRoute routeOf(const base::ServiceId& service,
                              const placement::MapServer& server) const;
  bool takesNewWork(const base::ServerId& server, const base::DomainId& domain) const;

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
  bool tellAll_ = false;
  bool leaving_ = false;
  bool configKnown_ = false;
  bool mapsKnown_ = false;
  // Set once routes to all known services were published; never taken back.
  bool routesReady_ = false;
  base::TimePoint nextHeartbeat_;
  base::TimePoint nextRoutes_;
  base::TimePoint nextLoads_;
  std::set<std::pair<base::VmId, base::ServiceId>> mapFetches_;
  // When a server was first seen to drain, or its failure domain to be out.
  std::map<base::ServerId, base::TimePoint> leavingSince_;
};

} // namespace sycamore::control

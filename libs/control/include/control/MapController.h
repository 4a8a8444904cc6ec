#pragma once

#include <configuration/ConfigSnapshot.h>
#include <control/ControlContext.h>
#include <control/LoadReport.h>
#include <control/PeerMessages.h>
#include <ownership/LeaseAction.h>
#include <placement/EntryVm.h>
#include <placement/OwnershipHistory.h>
#include <placement/Plan.h>
#include <placement/ServerView.h>
#include <placement/ShardMap.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sycamore::control {

// Callbacks and queries through which the map controller uses the other parts of the control state.
class MapEvents
{
public:
  virtual ~MapEvents() = default;

  // A newer map of the service is in use.
  virtual void onMapAdopted(const base::ServiceId& service) = 0;
  // The platform has confirmed a write of this generation that was started after these servers'
  // leases requested it.
  virtual void onGenerationAdvanced(const std::set<base::ServerId>& servers,
                                    base::Generation generation) = 0;
  // Sends a change that only the server's lease holder may write to that holder.
  virtual void orderChange(const ChangeOrder& order) = 0;
  virtual bool isEvicted(const base::ServerId& server) const = 0;
  virtual bool isDraining(const base::ServerId& server) const = 0;
  virtual bool isServing(const base::ServerId& server) const = 0;
};

// A shard map and the version of its platform object.
struct StoredMap
{
  std::shared_ptr<const placement::ShardMap> map;
  base::Version version;
};

// Keeps the shard maps in use, writes them to the platform, and plans changes for the services
// whose planner this VM is. A map never replaces one with a higher generation. Used by the control
// thread only.
class MapController
{
public:
  MapController(ControlContext& context, MapEvents& events);
  ~MapController();

  // Sets the configuration in effect.
  void setConfig(std::shared_ptr<const configuration::ConfigSnapshot> config);

  // Starts pending writes and plans. Called every 20 ms.
  void tick(bool platformReachable);

  // Adopts a map object of the platform or a peer if it is newer than the map in use, and returns
  // whether it is. Throws ControlError if it is malformed.
  bool adopt(const base::ServiceId& service, const std::string& value, base::Version version);
  // Called after a full list was adopted: services without a map have none on the platform either.
  void onAllMapsListed();

  // Requests the write of a lease holder's change of its server. It is repeated until a newer
  // generation is seen.
  void requestWrite(const base::ServiceId& service,
                    const base::ServerId& server,
                    const ownership::WriteMap& change);
  // Called when a server's lease needs a map above generation `base`. If the platform has none, the
  // map is written unchanged with the next generation.
  void advanceGeneration(const base::ServiceId& service,
                         const base::ServerId& server,
                         base::Generation base);
  // Drops the pending write, moves, successor changes and merges stored for a server's change.
  // Called when its result is known or the server's lease was lost.
  void onChangeResolved(const base::ServerId& server);

  // Stores the moves of the planner's order for a server whose lease this VM holds, and returns the
  // shards to release. Returns nothing if the order doesn't match the map in use, for example
  // because it was made for another generation.
  std::optional<ownership::ShardSet> acceptMoves(const ChangeOrder& order);

  // Stores the successor changes and merges of an order, which are written together with the
  // voters. Returns false if the order doesn't match the map in use.
  bool acceptEdits(const ChangeOrder& order);

  std::optional<StoredMap> find(const base::ServiceId& service) const;
  std::map<base::ServiceId, base::Generation> generations() const;
  const placement::OwnershipHistory* historyOf(const base::ServiceId& service) const;

  // Returns the moves in progress on the servers whose leases this VM holds.
  std::vector<placement::Move> plannedMoves(const base::ServiceId& service) const;

  // Records an entry VM's load report for a service that this VM plans. Planning uses the sum over
  // all VMs.
  void recordLoad(const base::VmId& from, ServiceLoad load);
  // Returns the entry VM that plans the service, according to the members known to this VM.
  std::optional<base::VmId> plannerOf(const base::ServiceId& service) const;

  // Returns the next planning step without performing it.
  std::optional<placement::Plan> dryRun(const base::ServiceId& service) const;

private:
  struct ServiceState;

  ServiceState& stateOf(const base::ServiceId& service);
  ServiceState* findState(const base::ServiceId& service) const;
  void install(ServiceState& state, placement::ShardMap map, base::Version version);
  // Records in the history the reasons of those of this VM's moves that the new map contains.
  void recordMoveReasons(ServiceState& state, const placement::ShardMap& next);
  // Returns the servers in the platform's VM list. They decide which servers the map contains.
  std::vector<placement::ServerView> listedServers(const ServiceState& state) const;
  // Returns the servers with the state that their lease holders report. It decides which of them
  // get shards.
  std::vector<placement::ServerView> usableServers(const ServiceState& state) const;
  void addUnlistedLost(const placement::ShardMap& map,
                       std::vector<placement::ServerView>& views) const;
  std::vector<placement::EntryVm> entryVms() const;
  std::vector<base::DomainId> domainsOut() const;
  std::optional<placement::ShardMap> changedMap(const ServiceState& state,
                                                const base::ServerId& server,
                                                const ownership::WriteMap& change) const;
  void continueWrites(ServiceState& state);
  void write(ServiceState& state, placement::ShardMap map, bool isAdvance);
  void onWritten(const base::ServiceId& service,
                 const std::shared_ptr<placement::ShardMap>& written,
                 bool isAdvance,
                 const transport::BufferedResponse& response);
  void readBack(ServiceState& state, bool thenAdvance);
  void onRead(const base::ServiceId& service,
              bool thenAdvance,
              const transport::BufferedResponse& response);
  void planService(ServiceState& state);
  void createInitialMap(ServiceState& state);
  placement::Plan nextPlan(const ServiceState& state) const;
  void orderChanges(ServiceState& state, const placement::Plan& plan);
  bool repairVoters(ServiceState& state);
  std::string writerToken();

  ControlContext& context_;
  MapEvents& events_;
  std::shared_ptr<const configuration::ConfigSnapshot> config_;
  std::map<base::ServiceId, std::unique_ptr<ServiceState>> services_;
  bool allMapsListed_ = false;
  std::mt19937_64 random_;
};

} // namespace sycamore::control

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

// What the map controller needs of the other parts of the control state.
class MapEvents
{
public:
  virtual ~MapEvents() = default;

  // A newer map is in use.
  virtual void mapAdopted(const base::ServiceId& service) = 0;
  // The write that these tenancies asked for before it began is confirmed.
  virtual void bumpWritten(const std::set<base::ServerId>& servers,
                           base::Generation generation) = 0;
  // The planner wants a change that only the holder of the server may write.
  virtual void orderChange(const ChangeOrder& order) = 0;
  virtual bool isEvicted(const base::ServerId& server) const = 0;
  virtual bool isDraining(const base::ServerId& server) const = 0;
  virtual bool isServing(const base::ServerId& server) const = 0;
};

// A map as one VM gives it to another.
struct StoredMap
{
  std::shared_ptr<const placement::ShardMap> map;
  base::Version version;
};

// Keeps the shard maps in use, writes them to the platform, and plans changes for the services that
// this VM is elected for. A map with a lower generation never replaces one with a higher. Used on
// the control thread only.
class MapController
{
public:
  MapController(ControlContext& context, MapEvents& events);
  ~MapController();

  // Takes the configuration in effect.
  void setConfig(std::shared_ptr<const configuration::ConfigSnapshot> config);

  // Time passes; called every 20 ms. Repeats writes and plans.
  void tick(bool platformReachable);

  // A map object as the platform or a peer gave it. Returns whether it is newer than the one in
  // use. Throws ControlError for a malformed one.
  bool adopt(const base::ServiceId& service, const std::string& value, base::Version version);
  // The platform has no map for services that were not adopted since.
  void noteListedAll();

  // A holder's change of its server, repeated until a newer generation is seen.
  void writeFor(const base::ServiceId& service,
                const base::ServerId& server,
                const ownership::WriteMap& change);
  // A tenancy needs a map above this generation, one that is written from now on if the platform
  // has none.
  void bump(const base::ServiceId& service, const base::ServerId& server, base::Generation base);
  // Forgets the plan of a change that is over.
  void changeResolved(const base::ServerId& server);

  // Takes an order of the planner for a server whose tenancy this VM holds: keeps its moves and
  // returns the shards to release. Nothing when the order was made for another generation.
  std::optional<ownership::ShardSet> acceptMoves(const ChangeOrder& order);

  // The same for changes of successors and merges, which go along with a write of the voters. False
  // when the order was made for another generation.
  bool acceptEdits(const ChangeOrder& order);

  std::optional<StoredMap> find(const base::ServiceId& service) const;
  std::map<base::ServiceId, base::Generation> generations() const;
  const placement::OwnershipHistory* historyOf(const base::ServiceId& service) const;

  // Moves that holders on this VM have under way.
  std::vector<placement::Move> plannedMoves(const base::ServiceId& service) const;

  // A load report of an entry VM for a service that this VM plans. The loads of all VMs are summed
  // before they are taken into account.
  void observeLoad(const base::VmId& from, ServiceLoad load);
  // The entry VM that plans the service, as far as this one sees.
  std::optional<base::VmId> plannerOf(const base::ServiceId& service) const;

  // The next step of the placement, without doing it.
  std::optional<placement::Plan> dryRun(const base::ServiceId& service) const;

private:
  struct ServiceState;

  ServiceState& stateOf(const base::ServiceId& service);
  ServiceState* findState(const base::ServiceId& service) const;
  void install(ServiceState& state, placement::ShardMap map, base::Version version);
  // Names the reasons of the moves of this VM that the newly observed map contains.
  void explainMoves(ServiceState& state, const placement::ShardMap& next);
  // Servers as the platform's list shows them: decides which servers the map names.
  std::vector<placement::ServerView> listedServers(const ServiceState& state) const;
  // Servers as their holders see them: decides which of them get shards.
  std::vector<placement::ServerView> usableServers(const ServiceState& state) const;
  void addUnlistedLost(const placement::ShardMap& map,
                       std::vector<placement::ServerView>& views) const;
  std::vector<placement::EntryVm> entryVms() const;
  std::vector<base::DomainId> domainsOut() const;
  std::optional<placement::ShardMap> changedMap(const ServiceState& state,
                                                const base::ServerId& server,
                                                const ownership::WriteMap& change) const;
  void continueWrites(ServiceState& state);
  void write(ServiceState& state, placement::ShardMap map, bool isBump);
  void onWritten(const base::ServiceId& service,
                 const std::shared_ptr<placement::ShardMap>& written,
                 bool isBump,
                 const transport::BufferedResponse& response);
  void readBack(ServiceState& state, bool thenBump);
  void onRead(const base::ServiceId& service,
              bool thenBump,
              const transport::BufferedResponse& response);
  void planService(ServiceState& state);
  void createFirstMap(ServiceState& state);
  placement::Plan nextPlan(const ServiceState& state) const;
  void orderChanges(ServiceState& state, const placement::Plan& plan);
  bool repairVoters(ServiceState& state);
  std::string writerToken();

  ControlContext& context_;
  MapEvents& events_;
  std::shared_ptr<const configuration::ConfigSnapshot> config_;
  std::map<base::ServiceId, std::unique_ptr<ServiceState>> services_;
  bool listedAll_ = false;
  std::mt19937_64 random_;
};

} // namespace sycamore::control

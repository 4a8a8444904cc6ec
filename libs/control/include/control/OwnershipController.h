#pragma once

#include <configuration/ConfigSnapshot.h>
#include <control/ControlContext.h>
#include <control/PeerMessages.h>
#include <ownership/LeaseTimings.h>
#include <ownership/PermitTable.h>
#include <ownership/ServerLease.h>
#include <ownership/Voter.h>
#include <placement/ShardMap.h>
#include <router/DispatcherTable.h>
#include <router/QuarantineRegistry.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamore::control {

class ServiceShards;

// What the ownership controller needs of the other parts of the control state.
class OwnershipEvents
{
public:
  virtual ~OwnershipEvents() = default;

  // A holder asks for a write of the map of its service.
  virtual void writeMap(const base::ServiceId& service,
                        const base::ServerId& server,
                        const ownership::WriteMap& change) = 0;
  // Voters need a newer map, or one written anew.
  virtual void bumpMap(const base::ServiceId& service,
                       const base::ServerId& server,
                       base::Generation base) = 0;
  // The result of a change of the map is known.
  virtual void changeResolved(const base::ServerId& server) = 0;
  // Peers should hear of a change of the held tenancies at once.
  virtual void holdersChanged() = 0;
};

// What is known of the holder of one server's tenancy.
struct KnownHolder
{
  base::VmId holder;
  base::Term term;
  ownership::LeaseKind kind = ownership::LeaseKind::Active;
  base::TimePoint heardAt;
  bool draining = false;
  bool serving = false;
};

// Runs the votes, tenancies, grants and permits of this VM. Used on the control thread only.
class OwnershipController
{
public:
  OwnershipController(ControlContext& context,
                      OwnershipEvents& events,
                      ownership::LeaseTimings timings,
                      router::DispatcherTable& dispatchers,
                      router::QuarantineRegistry& quarantine);
  ~OwnershipController();

  // Time passes; called every 20 ms.
  void tick(bool platformReachable);

  // A new generation of a service's map, or a new configuration of the service.
  void onMap(std::shared_ptr<const placement::ShardMap> map,
             const configuration::ServiceConfig& config);
  // A service is gone.
  void dropService(const base::ServiceId& service);
  // This VM's write of this generation, which these servers' tenancies asked for by bumpMap before
  // it began, is confirmed.
  void onBumpWritten(const std::set<base::ServerId>& servers, base::Generation generation);

  // Messages of peers.
  VoteBatchReply answerVotes(const VoteBatch& batch);
  std::vector<ownership::Permit> answerPermits(const PermitQuery& query);
  void onHeartbeat(const Heartbeat& heartbeat);

  // Starts to move shards off a server whose tenancy this VM holds. False when it can't now.
  bool startMove(const base::ServerId& server, const ownership::ShardSet& shards);
  bool startVoterChange(const base::ServerId& server, std::vector<base::VmId> voters);

  // Whether a change of the server's shards or voters is under way.
  bool isChanging(const base::ServerId& server) const;

  // Gives all tenancies up, when this VM leaves.
  void resignAll();
  bool holdsAny() const;

  std::vector<HeldTenancy> held() const;
  // Holders of all servers as far as known here.
  const std::map<base::ServerId, KnownHolder>& holders() const { return holders_; }
  bool isEvicted(const base::ServerId& server) const;
  // Whether the server said to its holder that it takes no new work.
  bool isDraining(const base::ServerId& server) const;
  // Whether the server has accepted a grant lately.
  bool isServing(const base::ServerId& server) const;
  std::optional<ownership::LeaseRole> roleOf(const base::ServerId& server) const;

private:
  struct Managed;

  void perform(Managed& managed, const ownership::LeaseActions& actions);
  void act(Managed& managed, const ownership::SendVote& action);
  void act(Managed& managed, const ownership::SendGrant& action);
  void act(Managed& managed, const ownership::SendRelease& action);
  void act(Managed& managed, const ownership::BecameHolder& action);
  void act(Managed& managed, const ownership::LostLease& action);
  void act(Managed& managed, const ownership::Evicted& action);
  void act(Managed& managed, const ownership::WriteMap& action);
  void act(Managed& managed, const ownership::AdvanceGeneration& action);
  void act(Managed& managed, const ownership::ChangeResolved& action);

  void flushVotes();
  void sendVotes(const base::VmId& to, VoteBatch batch);
  void onVoteReplies(const VoteBatchReply& reply);
  void onGrantAnswer(const base::ServerId& server,
                     const ownership::GrantRequest& sent,
                     base::TimePoint sentAt,
                     const transport::BufferedResponse& response);
  void onReleaseAnswer(const base::ServerId& server,
                       const ownership::ReleaseRequest& sent,
                       const transport::BufferedResponse& response);
  void noteServer(Managed& managed, const admission::ServerReport& report);
  void noteCrash(Managed& managed, base::Incarnation incarnation);
  // Leaves slots free for what an earlier holder still has in flight at the server.
  void countForeignWork(Managed& managed, unsigned inFlight);
  void updateGrantView(Managed& managed, const ownership::GrantRequest& granted);
  void askPermits();
  void askPermitsOf(const base::VmId& evictor, const std::vector<base::ServerId>& servers);
  ownership::ShardSet permittedFor(const Managed& managed) const;
  void noteHolder(const base::ServerId& server, const KnownHolder& holder);
  Managed* find(const base::ServerId& server) const;

  ControlContext& context_;
  OwnershipEvents& events_;
  const ownership::LeaseTimings timings_;
  router::DispatcherTable& dispatchers_;
  router::QuarantineRegistry& quarantine_;
  ownership::Voter voter_;
  ownership::PermitTable permits_;
  std::map<base::ServerId, std::unique_ptr<Managed>> managed_;
  std::map<base::ServiceId, std::unique_ptr<ServiceShards>> services_;
  std::map<base::ServerId, KnownHolder> holders_;
  std::map<base::VmId, VoteBatch> outgoing_;
  std::set<base::ServerId> draining_;
  base::TimePoint nextPermits_;
};

} // namespace sycamore::control

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

// Callbacks through which the ownership controller uses the other parts of the control state.
class OwnershipEvents
{
public:
  virtual ~OwnershipEvents() = default;

  // A server's lease holder requests a write of its service's map.
  virtual void writeMap(const base::ServiceId& service,
                        const base::ServerId& server,
                        const ownership::WriteMap& change) = 0;
  // Voters need a map above generation `base`, or a map that is written from now on.
  virtual void advanceGeneration(const base::ServiceId& service,
                                 const base::ServerId& server,
                                 base::Generation base) = 0;
  // The result of the server's map change is known, or its lease was lost.
  virtual void onChangeResolved(const base::ServerId& server) = 0;
  // The known lease holders or what they report have changed. Peers are notified immediately.
  virtual void onHoldersChanged() = 0;
};

// Known state of one server's lease holder.
struct KnownHolder
{
  base::VmId holder;
  base::Term term;
  ownership::LeaseKind kind = ownership::LeaseKind::Active;
  base::TimePoint updatedAt;
  bool draining = false;
  bool serving = false;
};

// Manages the votes, server leases, grants and permits of this VM. Used by the control thread only.
class OwnershipController
{
public:
  OwnershipController(ControlContext& context,
                      OwnershipEvents& events,
                      ownership::LeaseTimings timings,
                      router::DispatcherTable& dispatchers,
                      router::QuarantineRegistry& quarantine);
  ~OwnershipController();

  // Called every 20 ms.
  void tick(bool platformReachable);

  // Called for each new generation of a service's map and each new configuration of the service.
  void onMap(std::shared_ptr<const placement::ShardMap> map,
             const configuration::ServiceConfig& config);
  // Drops the state of a service that the configuration no longer contains.
  void dropService(const base::ServiceId& service);
  // Called when the platform has confirmed this VM's write of this generation, which was started
  // after these servers' leases had requested it by advanceGeneration().
  void onGenerationAdvanced(const std::set<base::ServerId>& servers, base::Generation generation);

  // Handle messages from peers.
  VoteBatchReply answerVotes(const VoteBatch& batch);
  std::vector<ownership::Permit> answerPermits(const PermitQuery& query);
  void onHeartbeat(const Heartbeat& heartbeat);

  // Start a change of a server whose lease this VM holds. Return false if it can't be started now.
  bool startMove(const base::ServerId& server, const ownership::ShardSet& shards);
  bool startVoterChange(const base::ServerId& server, std::vector<base::VmId> voters);

  // Returns whether a change of the server's shards or voters is in progress.
  bool isChanging(const base::ServerId& server) const;

  // Gives up the server leases without requests in flight. Called repeatedly while this VM leaves.
  void resignAll();
  bool holdsAny() const;

  std::vector<HeldLease> held() const;
  // Returns the known lease holders of all servers.
  const std::map<base::ServerId, KnownHolder>& holders() const { return holders_; }
  bool isEvicted(const base::ServerId& server) const;
  // Returns whether the server has reported to its lease holder that it accepts no new requests.
  bool isDraining(const base::ServerId& server) const;
  // Returns whether the server has recently accepted a grant.
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
  void recordServerReport(Managed& managed, const admission::ServerReport& report);
  void reportCrash(Managed& managed, base::Incarnation incarnation);
  // Withholds slots for requests that a previous holder still has in flight at the server.
  void reservePreviousHolderSlots(Managed& managed, unsigned inFlight);
  void updateGrantView(Managed& managed, const ownership::GrantRequest& granted);
  void requestPermits();
  void requestPermitsFrom(const base::VmId& evictor, const std::vector<base::ServerId>& servers);
  ownership::ShardSet permittedFor(const Managed& managed) const;
  void recordHolder(const base::ServerId& server, const KnownHolder& holder);
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

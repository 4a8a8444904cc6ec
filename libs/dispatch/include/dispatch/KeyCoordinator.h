#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/BackendServer.h>
#include <dispatch/Configuration.h>
#include <dispatch/CoordinatorActions.h>
#include <dispatch/CoordinatorSettings.h>
#include <dispatch/ManagedRange.h>
#include <dispatch/MovePlanner.h>
#include <dispatch/RequestLimit.h>
#include <dispatch/ServerIncarnations.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamore::dispatch {

// Decides which server owns which keys and when it is safe to grant them. Keys move to another
// server only after the previous owner has answered a release, after every grant that it may have
// received has expired, or when its process is known to have ended. Each order that tick() returns
// must be followed by one call that tells how it ended. Every change of owner is
// written to the record before the first grant. Only the entry VM that the record names as
// coordinator runs a KeyCoordinator.
class KeyCoordinator
{
public:
  // `record` is the record in the store. `previousCoordinatorsStopAt` is the time until which
  // any previous coordinator may still grant. `confirmedAt` is the time of the call by whose answer
  // the store confirmed this VM as the coordinator.
  KeyCoordinator(CoordinatorSettings settings,
                 OwnershipRecord record,
                 base::TimePoint previousCoordinatorsStopAt,
                 base::TimePoint confirmedAt);

  const OwnershipRecord& record() const { return record_; }
  // Returns the record as the store has last confirmed it.
  const OwnershipRecord& confirmedRecord() const { return confirmedRecord_; }

  // Set the registered servers, the policies of the services, and the failure domains that are out
  // of service. Only keyed services are managed.
  void setServers(const std::map<base::ServerId, BackendServer>& servers, base::TimePoint now);
  // Adds servers that are no longer registered and may still hold keys by grants of a previous
  // coordinator.
  void addFormerServers(const std::vector<BackendServer>& servers);
  void setServices(const std::map<base::ServiceId, ServicePolicy>& services);
  void setDomainsOut(const std::set<base::DomainId>& domains);

  // Returns the planner of moves, which is to be told what entry VMs measure.
  MovePlanner& planner() { return planner_; }

  // The store has confirmed that this VM is the coordinator, in answer to a call made at `askedAt`.
  void onCoordinatorConfirmed(base::TimePoint askedAt);
  // The immediately preceding coordinator has reported that it no longer grants.
  void onPreviousCoordinatorStopped(const CoordinatorStop& stop);
  // Returns the report for the next coordinator, if this one grants nothing more from now on.
  CoordinatorStop stopReport(base::TimePoint now) const;

  // Advances all ranges and returns the actions that are due. To be called at short intervals.
  CoordinatorActions tick(base::TimePoint now);

  // The write that tick() requested was confirmed. Returns the ranges that have a new owner or
  // fencing token by that write.
  std::map<base::ServiceId, KeyRanges> onRecordWritten(base::TimePoint now);

  // Returns whether the store has confirmed this VM as the coordinator recently enough that it may
  // act as such.
  bool isConfirmed(base::TimePoint now) const;
  // Returns whether a grant may be written to a connection now. Time may have passed since tick().
  bool maySend(const GrantOrder& order, base::TimePoint now) const;
  void onGrantAnswered(const GrantOrder& order, GrantAnswer answer, base::TimePoint now);
  void onReleaseAnswered(const ReleaseOrder& order,
                         const ReleaseAnswer& answer,
                         base::TimePoint now);

  // The server's process has ended, since another server answers at its address.
  void onServerProcessEnded(const BackendServer& server);

  // Return the number of all ranges and of those that wait for a new owner, for metrics.
  std::size_t managedRanges() const;
  std::size_t unownedRanges() const;

private:
  using Phase = RangePhase;

  const BackendServer* registered(const KeyRange& range) const;
  // Returns whether another server is known to have the owner's address, so that no process holds
  // keys by grants that were sent there.
  bool hasOwnerEnded(const KeyRange& range) const;
  // Returns the next incarnation of the owner, if one is registered; null otherwise. At the same
  // address it may have taken grants that were meant for the owner, since a call names only the
  // server's id; at another one the owner may still run.
  const BackendServer* nextIncarnation(const KeyRange& range) const;
  bool isUsable(const BackendServer& server, base::TimePoint now) const;
  // Returns the time at which every grant to this incarnation has expired, whichever coordinator
  // sent it; the latest time there is while one may still arrive.
  base::TimePoint allGrantsExpireAt(const std::string& incarnation) const;
  // Returns the ledger of the grants that this VM has sent to the owner of a range; null if there
  // were none.
  const GrantLedger* grantsToOwner(const KeyRange& range) const;
  // Returns the time at which the unanswered grants of a range to its owner have expired, whichever
  // coordinator sent them.
  base::TimePoint unansweredGrantsExpireAt(const KeyRange& range) const;
  base::Duration grantDurationBound() const;
  // Returns the time at which a grant has expired whose call began at `begunAt` and got no answer.
  base::TimePoint unansweredCallExpiresAt(base::TimePoint begunAt) const;
  std::vector<PlacementServer> placementServers(const base::ServiceId& service,
                                                base::TimePoint now) const;
  void partitionService(const base::ServiceId& service, base::TimePoint now);
  void regrant(ManagedRange& managed);
  void reviewOwner(ManagedRange& managed, base::TimePoint now);
  // Lets the range have a new owner.
  void free(ManagedRange& managed, KeysFreedBy by, base::TimePoint now) const;
  void renew(const base::ServiceId& service,
             ManagedRange& managed,
             CoordinatorActions& actions,
             base::TimePoint now);
  void release(const base::ServiceId& service,
               ManagedRange& managed,
               CoordinatorActions& actions,
               base::TimePoint now);
  void assignUnowned(const base::ServiceId& service,
                     ManagedRanges& ranges,
                     CoordinatorActions& actions,
                     base::TimePoint now);
  void probeLost(CoordinatorActions& actions, base::TimePoint now);
  // Returns the ranges within the keys of a call that still have its fencing token.
  std::vector<ManagedRange*> rangesOf(const base::ServiceId& service,
                                      KeyNumber from,
                                      KeyNumber to,
                                      std::uint64_t fence);
  void refreshRecord();

  CoordinatorSettings settings_;
  MovePlanner planner_;
  OwnershipRecord record_;
  OwnershipRecord confirmedRecord_;
  std::map<base::ServiceId, ManagedRanges> ranges_;
  std::map<base::ServiceId, ServicePolicy> services_;
  // Time at which the first server of each service was seen; starts the delay before the initial
  // partition.
  std::map<base::ServiceId, base::TimePoint> firstSeen_;
  std::map<base::ServerId, BackendServer> servers_;
  std::set<base::DomainId> domainsOut_;
  ServerIncarnations incarnations_;
  // Time at which every previous coordinator has stopped granting.
  base::TimePoint previousCoordinatorsStopAt_;
  // Time at which every unanswered grant of the previous coordinators has expired.
  base::TimePoint previousUnansweredGrantsExpireAt_{};
  // Time from which on keys may get another owner, see OwnershipRecord::mayLackOwners.
  base::TimePoint nextOwnersFrom_{};
  // Time of the last call by whose answer the store confirmed this VM as the coordinator.
  base::TimePoint confirmedAt_;
  // Whether there are changes that no write contains yet, and whether a write is in progress.
  bool hasUnwrittenChanges_ = false;
  bool writeInProgress_ = false;
};

} // namespace sycamore::dispatch

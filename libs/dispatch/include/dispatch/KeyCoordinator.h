#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/BackendServer.h>
#include <dispatch/Configuration.h>
#include <dispatch/GrantLedger.h>
#include <dispatch/KeyRates.h>
#include <dispatch/OwnershipRecord.h>
#include <dispatch/RangePlacement.h>
#include <dispatch/RequestLimit.h>
#include <dispatch/WorkMean.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamore::dispatch {

struct CoordinatorSettings
{
  // Lifetime of a grant, measured by the server from the grant's arrival.
  base::Duration grantDuration = base::milliseconds(2800);
  // Interval between two grants of the same range.
  base::Duration renewalInterval = base::milliseconds(800);
  // Time after which an unanswered call is abandoned and its connection reset, so that the call
  // can't arrive later.
  base::Duration callTimeout = base::milliseconds(300);
  // Factor by which a server's clock may run slower than this VM's.
  double clockDriftFactor = 1.03;
  // A server that has answered no call for this time is considered lost.
  base::Duration lostTimeout = base::milliseconds(900);
  // Time for which a coordinator may grant after the store last confirmed that it is still the
  // coordinator.
  base::Duration confirmationTimeout = base::milliseconds(5000);
  PlacementSettings placement;
};

// Returns the printed form of a server's incarnation, "id@born".
std::string incarnationOf(const base::ServerId& id, std::int64_t born);

// Call that grants a range of keys to a server, or renews the grant.
struct GrantOrder
{
  base::ServiceId service;
  KeyNumber from = 0;
  KeyNumber to = 0;
  std::uint64_t fence = 0;
  BackendServer server;
  // Token from the previous owner's answer to the release; empty if there is none.
  std::string handover;
  // Time from which on the call must not be sent any more.
  base::TimePoint sendBy{};
};

// Call that asks a server to release a range of keys.
struct ReleaseOrder
{
  base::ServiceId service;
  KeyNumber from = 0;
  KeyNumber to = 0;
  std::uint64_t fence = 0;
  BackendServer server;
};

// Why keys could be given to another owner.
enum class KeysFreedBy
{
  // They had no owner before.
  NoOwner,
  // The owner has answered a release, and no unanswered grant could take effect any more.
  Release,
  // All grants to the owner had expired.
  Expiry,
  // Another server answers at the owner's address.
  ProcessEnd
};

// A range that gets another owner, for the log.
struct OwnerChange
{
  base::ServiceId service;
  // The range with its previous owner and that one's fencing token; without an owner if it had
  // none.
  KeyRange previous;
  // The same keys with the next owner.
  KeyRange next;
  KeysFreedBy freedBy = KeysFreedBy::NoOwner;
  // Time from which on the previous owner was taken to hold nothing.
  base::TimePoint freedAt{};
};

// Calls to servers and writes to the store that are due and that the user of KeyCoordinator
// executes.
struct CoordinatorActions
{
  std::vector<GrantOrder> grants;
  std::vector<ReleaseOrder> releases;
  // Changes that take effect with the next written record.
  std::vector<OwnerChange> ownerChanges;
  // Whether the record has changed. It must be written before the changes take effect.
  bool mustWriteRecord = false;
};

enum class GrantAnswer
{
  Accepted,
  // The server has already seen a higher fencing token.
  Superseded,
  // Another server answers at the address.
  OtherServer,
  // No connection: the server hasn't received the grant.
  NotSent,
  // Sent, but without a readable answer: the grant may take effect.
  OutcomeUnknown
};

struct ReleaseAnswer
{
  enum class Kind
  {
    // The server has ended its work on the keys.
    Released,
    // Another server answers at the address.
    OtherServer,
    // No connection: the server hasn't received the release.
    NotSent,
    // Sent, but without an answer that is certain to be the release's own.
    OutcomeUnknown
  };

  Kind kind = Kind::OutcomeUnknown;
  // Token for the next owner; empty if there is none.
  std::string handover = "";
};

// What a coordinator that stops granting tells its successor.
struct CoordinatorStop
{
  // Time at which it and all coordinators before it have stopped granting.
  base::TimePoint previousCoordinatorsStopAt{};
  // Time at which all its grants without an answer, and theirs, have expired. Until then, a server
  // may take such a grant also after it has released the keys.
  base::TimePoint unansweredGrantsExpireAt{};
};

// Decides which server owns which keys and when it is safe to grant them. Keys move to another
// server only after the previous owner has answered a release, after every grant that it may have
// received has expired, or when its process is known to have ended. Each order that tick() returns
// must be followed by one call that tells how it ended. Every change of owner is
// written to the record before the first grant. Only the entry VM that the record names as
// coordinator runs a KeyCoordinator.
class KeyCoordinator
{
public:
  // `record` is the record in the store. `previousCoordinatorsGrantUntil` is the time until which
  // any previous coordinator may still grant.
  KeyCoordinator(CoordinatorSettings settings,
                 OwnershipRecord record,
                 base::TimePoint previousCoordinatorsGrantUntil,
                 base::TimePoint now);

  const OwnershipRecord& record() const { return record_; }

  // Set the registered servers, the policies of the services, and the failure domains that are out
  // of service. Only keyed services are managed.
  void setServers(const std::map<base::ServerId, BackendServer>& servers, base::TimePoint now);
  void setServices(const std::map<base::ServiceId, ServicePolicy>& services);
  void setDomainsOut(const std::set<base::DomainId>& domains);
  // Sets the servers that name a limit in their answers.
  void setLimits(const std::vector<LimitedServer>& limited);

  // Record the requests that an entry VM counted by key, and the time that requests took in slots
  // of a server.
  void recordKeyCounts(const base::ServiceId& service,
                       const KeyCounts& counts,
                       base::TimePoint now);
  void recordWork(const base::ServerId& server, const WorkSample& sample, base::TimePoint now);

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
  enum class Phase
  {
    // The owner is granted the range, and the grant is renewed.
    Owned,
    // The owner is asked to release the range.
    Releasing,
    // The owner has released the range, but an unanswered grant may still take effect there.
    Released,
    // No server can hold the range, so that it may be assigned.
    Unowned,
    // A new owner or fencing token has been chosen but isn't yet written to the record.
    AwaitingWrite
  };

  struct ManagedRange
  {
    KeyRange range;
    Phase phase = Phase::Owned;
    base::TimePoint nextCallAt{};
    // Token from the previous owner's answer to the release, for the next grant.
    std::string handover = "";
    // Target of a planned move between live servers.
    std::optional<base::ServerId> target = std::nullopt;
    // Why and since when the range has no owner. Valid in the phases Released and Unowned.
    KeysFreedBy freedBy = KeysFreedBy::NoOwner;
    base::TimePoint freedAt{};
  };

  struct Incarnation
  {
    BackendServer server;
    // Grants that this VM has sent to it.
    GrantLedger grants;
    // Start of the first of the unanswered calls; the clock's epoch if the last call was answered.
    base::TimePoint unansweredSince{};
    base::TimePoint nextProbeAt{};
    unsigned unansweredCalls = 0;
    bool hasEnded = false;
  };

  using Ranges = std::vector<ManagedRange>;

  const BackendServer* registered(const KeyRange& range) const;
  // Returns whether another server is known to have the owner's address, so that no process holds
  // keys by grants that were sent there.
  bool hasOwnerEnded(const KeyRange& range) const;
  // Returns the next incarnation of the owner, if one is registered; null otherwise. At the same
  // address it may have taken grants that were meant for the owner, since a call names only the
  // server's id; at another one the owner may still run.
  const BackendServer* nextIncarnation(const KeyRange& range) const;
  bool isLost(const std::string& incarnation, base::TimePoint now) const;
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
  void registerIncarnation(const BackendServer& server);
  std::vector<PlacementServer> placementServers(const base::ServiceId& service,
                                                base::TimePoint now) const;
  void partitionService(const base::ServiceId& service, base::TimePoint now);
  void regrant(ManagedRange& managed);
  void reviewOwner(ManagedRange& managed, base::TimePoint now);
  // Lets the range have a new owner.
  static void free(ManagedRange& managed, KeysFreedBy by, base::TimePoint now);
  void renew(const base::ServiceId& service,
             ManagedRange& managed,
             CoordinatorActions& actions,
             base::TimePoint now);
  void release(const base::ServiceId& service,
               ManagedRange& managed,
               CoordinatorActions& actions,
               base::TimePoint now);
  void assignUnowned(const base::ServiceId& service,
                     Ranges& ranges,
                     CoordinatorActions& actions,
                     base::TimePoint now);
  void planMoves(const base::ServiceId& service, Ranges& ranges, base::TimePoint now);
  void startMove(Ranges& ranges, const PlannedMove& move);
  void mergeOwnedRanges(Ranges& ranges, std::size_t servers);
  void probeLost(CoordinatorActions& actions, base::TimePoint now);
  // Returns the ranges within the keys of a call that still have its fencing token.
  std::vector<ManagedRange*> rangesOf(const base::ServiceId& service,
                                      KeyNumber from,
                                      KeyNumber to,
                                      std::uint64_t fence);
  void onCallAnswered(const std::string& incarnation);
  void onCallUnanswered(const std::string& incarnation, base::TimePoint now);
  void refreshRecord();

  CoordinatorSettings settings_;
  OwnershipRecord record_;
  std::map<base::ServiceId, Ranges> ranges_;
  std::map<base::ServiceId, KeyRates> rates_;
  std::map<base::ServiceId, ServicePolicy> services_;
  // Time at which the first server of each service was seen; starts the delay before the initial
  // partition.
  std::map<base::ServiceId, base::TimePoint> firstSeen_;
  std::map<base::ServerId, BackendServer> servers_;
  std::map<base::ServerId, WorkMean> work_;
  std::set<base::DomainId> domainsOut_;
  std::map<base::ServerId, LimitedServer> limited_;
  std::map<std::string, Incarnation> incarnations_;
  // Time at which every previous coordinator has stopped granting.
  base::TimePoint previousCoordinatorsStopAt_;
  // Time at which every unanswered grant of the previous coordinators has expired.
  base::TimePoint previousUnansweredGrantsExpireAt_{};
  // Time of the last call by whose answer the store confirmed this VM as the coordinator.
  base::TimePoint confirmedAt_;
  base::TimePoint nextPlanAt_{};
  // Whether there are changes that no write contains yet, and whether a write is in progress.
  bool hasUnwrittenChanges_ = false;
  bool writeInProgress_ = false;
};

} // namespace sycamore::dispatch

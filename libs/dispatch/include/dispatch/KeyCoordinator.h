#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/BackendServer.h>
#include <dispatch/Configuration.h>
#include <dispatch/KeyRates.h>
#include <dispatch/OwnershipRecord.h>
#include <dispatch/RangePlacement.h>
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
  // Lifetime of a grant, counted by the server from its arrival.
  base::Duration grantDuration = base::milliseconds(2800);
  // Time between two grants of the same range.
  base::Duration renewalInterval = base::milliseconds(800);
  // Time after which an unanswered call is given up and its connection reset, so that it can't
  // arrive later.
  base::Duration callTimeout = base::milliseconds(300);
  // How much slower a server's clock may run, as a factor.
  double clockDriftFactor = 1.03;
  // A server that has answered no grant for this time is taken to be lost.
  base::Duration lostTimeout = base::milliseconds(900);
  // Time for which a coordinator grants without a confirmation by the store that it still is the
  // coordinator.
  base::Duration confirmationTimeout = base::milliseconds(5000);
  PlacementSettings placement;
};

// Identity of a server's life, "id@born".
std::string incarnationOf(const base::ServerId& id, std::int64_t born);

// An order to a server.
struct GrantOrder
{
  base::ServiceId service;
  KeyNumber from = 0;
  KeyNumber to = 0;
  std::uint64_t fence = 0;
  BackendServer server;
  // Token from the last owner's release; empty if there is none.
  std::string handover;
};

struct ReleaseOrder
{
  base::ServiceId service;
  KeyNumber from = 0;
  KeyNumber to = 0;
  std::uint64_t fence = 0;
  BackendServer server;
};

// What the coordinator wants done next.
struct CoordinatorActions
{
  std::vector<GrantOrder> grants;
  std::vector<ReleaseOrder> releases;
  // Whether the record has changed and must be written before anything else follows from it.
  bool mustWriteRecord = false;
};

enum class GrantAnswer
{
  Accepted,
  // The server has seen a higher fencing token.
  Superseded,
  // Another server has the address.
  OtherServer,
  // No connection: the server hasn't got the order.
  NotSent,
  // Sent, but no answer or none that can be understood: it may take effect.
  OutcomeUnknown
};

// Decides which server owns which keys and when it is safe to grant them: keys pass to another
// server only after the old owner has answered a release, or after every grant that it may have got
// has run out, or when the old owner's process is known to be gone. Every change of owner is
// written to the record before the first grant. Only the entry VM that the record names runs one.
class KeyCoordinator
{
public:
  // `record` is what the store holds. `previousCoordinatorsGrantUntil` is the time until which an
  // earlier coordinator may still grant.
  KeyCoordinator(CoordinatorSettings settings,
                 OwnershipRecord record,
                 base::TimePoint previousCoordinatorsGrantUntil,
                 base::TimePoint now);

  const OwnershipRecord& record() const { return record_; }

  // The servers that are registered now, and the policies of the services. Only keyed services
  // matter here.
  void setServers(const std::map<base::ServerId, BackendServer>& servers, base::TimePoint now);
  void setServices(const std::map<base::ServiceId, ServicePolicy>& services);
  void setDomainsOut(const std::set<base::DomainId>& domains);

  // Requests counted by any entry VM, and the time that requests took in a slot of a server.
  void recordKeyCounts(const base::ServiceId& service,
                       const KeyCounts& counts,
                       base::TimePoint now);
  void recordWork(const base::ServerId& server, const WorkSample& sample, base::TimePoint now);

  // The store has confirmed that this VM is the coordinator, asked at `asked`.
  void onCoordinatorConfirmed(base::TimePoint asked);
  // The coordinator before this one has told that it grants no more, and until when those before it
  // may.
  void onPreviousCoordinatorStopped(base::TimePoint until);
  // When every earlier coordinator has stopped granting.
  base::TimePoint previousCoordinatorsStopAt() const { return previousCoordinatorsStopAt_; }

  CoordinatorActions tick(base::TimePoint now);

  // The write that tick() asked for was confirmed. The ranges that have a new owner or fence by it.
  std::map<base::ServiceId, KeyRanges> onRecordWritten(base::TimePoint now);

  // The call of a grant is about to be written to a connection.
  void onGrantSent(const GrantOrder& order, base::TimePoint now);
  void onGrantAnswered(const GrantOrder& order, GrantAnswer answer, base::TimePoint now);
  // A release was answered, with the token to pass on, or was lost (nothing).
  void onReleaseAnswered(const ReleaseOrder& order,
                         const std::optional<std::string>& handover,
                         base::TimePoint now);

  // Another server answers at this server's address, so that its process has ended.
  void onServerProcessEnded(const BackendServer& server);

  // Ranges in all, and those that wait for a new owner, for metrics.
  std::size_t managedRanges() const;
  std::size_t unownedRanges() const;

private:
  enum class Phase
  {
    // Owned: granted and renewed.
    Held,
    // The owner has been asked to give it back.
    Releasing,
    // The owner has given it back, but a grant without an answer may still take effect there.
    Released,
    // Nobody holds it.
    Free,
    // Its new owner is being written to the record.
    Writing
  };

  struct ManagedRange
  {
    KeyRange range;
    Phase phase = Phase::Held;
    base::TimePoint nextCall{};
    // When the last grant's call has ended, answered or not.
    base::TimePoint grantEndsBy{};
    // When every grant that got no answer has run out.
    base::TimePoint uncertainUntil{};
    std::string handover;
    // Planned owner of a move between live servers.
    std::optional<base::ServerId> target;
  };

  struct Life
  {
    BackendServer server;
    // When every grant that this VM has sent to it has run out.
    base::TimePoint holdsUntil{};
    // Since when no call was answered; the epoch if the last one was.
    base::TimePoint silentSince{};
    base::TimePoint nextProbe{};
    unsigned lost = 0;
    bool ended = false;
  };

  using Ranges = std::vector<ManagedRange>;

  const BackendServer* registered(const KeyRange& range) const;
  // Whether the owner's process is known to have ended, so that it holds nothing.
  bool isEnded(const KeyRange& range) const;
  bool isLost(const std::string& life, base::TimePoint now) const;
  bool isUsable(const BackendServer& server, base::TimePoint now) const;
  // When no server of this life can hold keys any more, whoever granted them.
  base::TimePoint heldUntil(const std::string& life) const;
  base::Duration holdBound() const;
  void rememberLife(const BackendServer& server);
  std::vector<PlacementServer> placementServers(const base::ServiceId& service,
                                                base::TimePoint now) const;
  void divideService(const base::ServiceId& service, base::TimePoint now);
  void regrant(ManagedRange& managed);
  void reviewOwner(ManagedRange& managed, base::TimePoint now);
  void renew(const base::ServiceId& service,
             ManagedRange& managed,
             CoordinatorActions& actions,
             base::TimePoint now);
  void release(const base::ServiceId& service,
               ManagedRange& managed,
               CoordinatorActions& actions,
               base::TimePoint now);
  void assignFree(const base::ServiceId& service, Ranges& ranges, base::TimePoint now);
  void planMoves(const base::ServiceId& service, Ranges& ranges, base::TimePoint now);
  void startMove(Ranges& ranges, const PlannedMove& move);
  void joinNeighbours(Ranges& ranges, std::size_t servers);
  void probeLost(CoordinatorActions& actions, base::TimePoint now);
  // Ranges within an order's keys that still have its fence.
  std::vector<ManagedRange*> rangesOf(const base::ServiceId& service,
                                      KeyNumber from,
                                      KeyNumber to,
                                      std::uint64_t fence);
  void onCallAnswered(const std::string& life);
  void onCallUnanswered(const std::string& life, base::TimePoint now);
  void refreshRecord();

  CoordinatorSettings settings_;
  OwnershipRecord record_;
  std::map<base::ServiceId, Ranges> ranges_;
  std::map<base::ServiceId, KeyRates> rates_;
  std::map<base::ServiceId, ServicePolicy> services_;
  std::map<base::ServiceId, base::TimePoint> firstSeen_;
  std::map<base::ServerId, BackendServer> servers_;
  std::map<base::ServerId, WorkMean> work_;
  std::set<base::DomainId> domainsOut_;
  std::map<std::string, Life> lives_;
  // When earlier coordinators have stopped granting.
  base::TimePoint previousCoordinatorsStopAt_;
  base::TimePoint confirmedAt_;
  base::TimePoint nextPlan_{};
  // Whether the record differs from what was last written, and whether a write is under way.
  bool dirty_ = false;
  bool writing_ = false;
};

} // namespace sycamore::dispatch

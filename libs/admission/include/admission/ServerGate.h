#pragma once

#include <admission/ColdStartLimiter.h>
#include <admission/FairQueue.h>
#include <admission/GateAction.h>
#include <admission/ServerBackoff.h>
#include <admission/SlotTable.h>
#include <base/Ids.h>
#include <base/Time.h>
#include <requests/AttemptClassifier.h>

#include <optional>
#include <unordered_map>

namespace sycamore::admission {

struct ServerGateSettings
{
  unsigned slots = 2;
  FairQueueSettings queue;
  ColdStartSettings coldStart;
  // A server may keep working for this long after a request's deadline; the slot is held until
  // then.
  base::Duration deadlineMargin = base::milliseconds(50);
  // Back-off after failures, shared by all requests to the server; none if not set. The cap is
  // short: each wait costs only one probe, but delays all requests once the server has recovered.
  std::optional<requests::BackoffSettings> backoff =
    requests::BackoffSettings{ .cap = base::milliseconds(100) };
};

// An attempt that has certainly ended, with its result.
struct FinishedAttempt
{
  WorkId work;
  requests::Classification result;
};

// What a backend server reported in its answer to a grant. Load reports must not be passed in this
// form: they lag behind, and an old incarnation after a newer one would look like a restart.
struct ServerReport
{
  base::Incarnation incarnation;
  ReportedState state = ReportedState::Warm;
  // Time at which the answered grant was sent. A new incarnation runs no request that was sent
  // earlier, since it had no grant.
  base::TimePoint grantSentAt;
};

// Admission control for one backend server, at the entry VM that holds its server lease. Combines
// slots, queue, cold-start limit and back-off in one state machine. Each call processes an event
// and returns actions, all of which the caller performs. A refused request has never run. Not
// thread-safe: the dispatcher holds one mutex around each instance and performs the actions outside
// of it.
class ServerGate
{
public:
  ServerGate(ServerGateSettings settings, base::TimePoint now);

  // Dispatches, queues or refuses a request that has arrived.
  GateActions enqueue(QueuedWork work, base::TimePoint now);

  // An attempt has certainly ended: the server answered completely or refused, or nothing was sent.
  GateActions onFinished(const FinishedAttempt& ended, base::TimePoint now);

  // The dispatcher abandoned an attempt that may still run (timeout, broken connection, caller
  // disconnected). Its slot stays held until onFinished(), onCancelConfirmed() or its deadline plus
  // deadlineMargin.
  GateActions onAbandoned(WorkId work, base::TimePoint now);

  // The server confirmed that the request was cancelled or is not running.
  GateActions onCancelConfirmed(WorkId work, base::TimePoint now);

  // Removes a queued request whose caller disconnected. Does nothing for a request in flight: see
  // onAbandoned().
  GateActions withdraw(WorkId work, base::TimePoint now);

  // The server answered a grant. If its incarnation is a new one, abandoned attempts that were sent
  // before the grant have certainly ended; others end when their connection breaks.
  GateActions onServerReport(const ServerReport& report, base::TimePoint now);

  // Sets whether a valid grant exists. Without one nothing is dispatched, and queued work waits
  // until its deadline.
  GateActions setGranted(bool granted, base::TimePoint now);

  // This entry VM no longer holds the server lease: queued and all later work is refused with
  // Reason::NotHolder.
  GateActions onLeaseLost(base::TimePoint now);

  // Refuses queued requests whose deadline has passed, frees slots whose hold time has passed, and
  // dispatches queued requests that the limits now allow. Must be called at the time that
  // nextWakeUp() returns.
  GateActions wake(base::TimePoint now);
  std::optional<base::TimePoint> nextWakeUp(base::TimePoint now) const;

  void setSlots(unsigned slots);

  // Returns the number of attempts that hold a slot.
  std::size_t inFlight() const { return slots_.heldCount(); }
  std::size_t queued() const { return queue_.length(); }
  bool isCold() const { return limiter_.isCold(); }

private:
  struct Attempt
  {
    base::TimePoint sentAt;
    base::TimePoint deadline;
    bool exclusive = false;
    bool abandoned = false;
  };

  void advance(GateActions& actions, base::TimePoint now);
  bool hasSlotFor(const QueuedWork& work) const;
  std::optional<base::TimePoint> nextDispatchAt(base::TimePoint now) const;
  bool mayDispatch(const QueuedWork& work, base::TimePoint now) const;
  void recordFailure(const requests::Classification& result, base::TimePoint now);
  unsigned concurrency() const;
  void dispatch(const QueuedWork& work, GateActions& actions, base::TimePoint now);
  void dispatchOrQueue(QueuedWork work, GateActions& actions, base::TimePoint now);
  void refuseQueued(requests::Reason reason, GateActions& actions);
  void recordOutcome(const Attempt& attempt,
                     const requests::Classification& result,
                     base::TimePoint now);
  void endAttempt(WorkId work);
  void endAttemptsBeforeRestart();
  ServiceEstimate estimate(base::TimePoint now) const;
  requests::Reason noRoomReason() const;
  requests::Reason closedReason() const;

  ServerGateSettings settings_;
  SlotTable slots_;
  FairQueue queue_;
  ColdStartLimiter limiter_;
  std::optional<ServerBackoff> backoff_;
  std::unordered_map<WorkId, Attempt> attempts_;
  std::optional<base::Incarnation> incarnation_;
  // Time at which an attempt was abandoned, lost its connection or was refused because the server
  // holds no grant for its shard. The server may have restarted, so the cold limit applies until it
  // answers a grant that was sent later.
  std::optional<base::TimePoint> possibleRestartAt_;
  // Time at which the first grant that the current incarnation answered was sent; it runs nothing
  // that was sent earlier.
  base::TimePoint incarnationGrantSentAt_{};
  double serviceNanos_;
  std::size_t exclusiveInFlight_ = 0;
  bool hasGrant_ = true;
  bool isDraining_ = false;
  bool isLeaseLost_ = false;
};

} // namespace sycamore::admission

#pragma once

#include <admission/BackoffGate.h>
#include <admission/ColdStartLimiter.h>
#include <admission/FairQueue.h>
#include <admission/GateAction.h>
#include <admission/SlotGate.h>
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
  // A server may go on this long after a request's deadline; the slot is held so long.
  base::Duration endMargin = base::milliseconds(50);
  // One back-off for all requests to the server after failures; none if not set. Its cap is short:
  // each wait costs one probe, but delays everything once the server is back.
  std::optional<requests::BackoffSettings> backoff =
    requests::BackoffSettings{ .cap = base::milliseconds(100) };
};

// The end of an attempt whose end is certain.
struct FinishedAttempt
{
  WorkId work;
  requests::Classification result;
};

// An answer to a grant. Lagging load reports must not be passed on as such: an old incarnation
// among newer ones would look like a restart.
struct ServerReport
{
  base::Incarnation incarnation;
  ReportedState state = ReportedState::Warm;
  // When the answered grant was sent. A new incarnation runs nothing that was sent earlier, since
  // it had no grant.
  base::TimePoint grantSentAt;
};

// Admission to one backend server at the entry VM that holds its tenancy: slots, queue and
// cold-start limit in one state machine. Each call takes an event and returns what to do; the
// caller performs all actions of a call. A Refuse is always "not run". Not thread-safe: the
// dispatcher holds one mutex around each instance and performs the actions outside of it.
class ServerGate
{
public:
  ServerGate(ServerGateSettings settings, base::TimePoint now);

  // A request arrived. It is dispatched, queued or refused.
  GateActions enqueue(QueuedWork work, base::TimePoint now);

  // An attempt has certainly ended: a complete answer, a refusal, or nothing was sent.
  GateActions onFinished(const FinishedAttempt& end, base::TimePoint now);

  // The dispatcher gave up on an attempt that may still run (timeout, broken connection, caller
  // gone). Its slot stays held until onFinished(), onCancelConfirmed() or its deadline plus a
  // margin.
  GateActions onAbandoned(WorkId work, base::TimePoint now);

  // The server confirmed that the request is cancelled or is not running.
  GateActions onCancelConfirmed(WorkId work, base::TimePoint now);

  // The caller of queued work went away. Does nothing for work in flight: see onAbandoned().
  GateActions withdraw(WorkId work, base::TimePoint now);

  // A grant was answered. On another incarnation, abandoned attempts sent before the grant have
  // certainly ended; others end when their connection breaks.
  GateActions onServerReport(const ServerReport& report, base::TimePoint now);

  // Whether a valid grant exists. Without one, queued work waits for its deadline.
  GateActions setGranted(bool granted, base::TimePoint now);

  // This entry VM is no longer the holder: queued work is refused as not-holder, and so is all
  // later work.
  GateActions onLeaseLost(base::TimePoint now);

  // To be called at nextWakeUp().
  GateActions wake(base::TimePoint now);
  std::optional<base::TimePoint> nextWakeUp(base::TimePoint now) const;

  void setSlots(unsigned slots);

  // Attempts that hold a slot.
  std::size_t inFlight() const { return slots_.held(); }
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

  void proceed(GateActions& actions, base::TimePoint now);
  bool slotFor(const QueuedWork& work) const;
  std::optional<base::TimePoint> nextDispatch(base::TimePoint now) const;
  bool mayDispatch(const QueuedWork& work, base::TimePoint now) const;
  void learnFailure(const requests::Classification& result, base::TimePoint now);
  unsigned concurrency() const;
  void dispatch(const QueuedWork& work, GateActions& actions, base::TimePoint now);
  void offer(QueuedWork work, GateActions& actions, base::TimePoint now);
  void refuseQueued(requests::Reason reason, GateActions& actions);
  void learn(const Attempt& attempt, const requests::Classification& result, base::TimePoint now);
  void end(WorkId work);
  void endBeforeRestart();
  DrainEstimate estimate(base::TimePoint now) const;
  requests::Reason pressure() const;
  requests::Reason closed() const;

  ServerGateSettings settings_;
  SlotGate slots_;
  FairQueue queue_;
  ColdStartLimiter limiter_;
  std::optional<BackoffGate> backoff_;
  std::unordered_map<WorkId, Attempt> attempts_;
  std::optional<base::Incarnation> incarnation_;
  // When an attempt broke off or was refused as by a process without a grant. The server may have
  // restarted: until a grant sent later is answered, it gets the cold limit.
  std::optional<base::TimePoint> doubtedSince_;
  // Nothing sent earlier runs on the present incarnation.
  base::TimePoint restartedAt_{};
  double serviceNanos_;
  std::size_t exclusiveInFlight_ = 0;
  bool granted_ = true;
  bool draining_ = false;
  bool lost_ = false;
};

} // namespace sycamore::admission

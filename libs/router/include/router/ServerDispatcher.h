#pragma once

#include <admission/ServerGate.h>
#include <base/Ids.h>
#include <base/Time.h>
#include <ownership/ShardSet.h>
#include <requests/DeduplicationTable.h>
#include <requests/WorkIdentity.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sycamore::router {

// Which shards of its server the holder may dispatch to, and until when.
struct GrantView
{
  base::Term term;
  base::Generation generation;
  ownership::ShardSet shards;
  // The votes and the server's grant are valid until then; checked right before each send.
  base::TimePoint validUntil;
};

// A request that asks for a slot.
struct AdmissionRequest
{
  // Nothing for requests that any server of the service may run.
  std::optional<base::ShardId> shard;
  // What the queue is fair over.
  std::string flow;
  base::TimePoint deadline;
  std::size_t bytes = 0;
  // A request that any server may run is refused after this wait, so that another one is tried.
  base::Duration longestWait = base::Duration::max();
  // Must not share the server with other requests (see requests::Quarantine).
  bool alone = false;
  // Whether the sender of the request has left; asked while the request waits.
  std::function<bool()> isSenderGone;
};

// Result of asking for a slot.
struct Admission
{
  bool admitted = false;
  admission::WorkId work;
  base::Term term;
  // Why not; the request has not run.
  requests::Reason reason = requests::Reason::None;
  base::Duration retryAfter{};
};

// Dispatch to one backend server at the entry VM that holds its tenancy: slots, queue, cold-start
// limit, the ledger of non-idempotent requests, and the requests in flight. One instance lives as
// long as the tenancy. Safe from all threads.
class ServerDispatcher
{
public:
  ServerDispatcher(base::ServerId server,
                   std::string address,
                   base::DomainId domain,
                   admission::ServerGateSettings gate,
                   requests::DeduplicationSettings ledger,
                   base::TimePoint now,
                   requests::WallTime wallNow);

  const base::ServerId& server() const { return server_; }
  const std::string& address() const { return address_; }
  const base::DomainId& domain() const { return domain_; }

  // Waits for a slot on the calling thread, at most until the deadline.
  Admission admit(const AdmissionRequest& request);

  // Whether the grant still covers the shard now.
  bool mayDispatch(const std::optional<base::ShardId>& shard) const;

  // Notes what runs, as evidence if the server crashes.
  void noteStarted(admission::WorkId work, const requests::WorkIdentity& identity);

  // The attempt certainly ended. A broken connection keeps its identity as crash evidence.
  void finished(admission::WorkId work, const requests::Classification& result);
  // The attempt may still run at the server; its slot stays held until its end is certain.
  void abandoned(admission::WorkId work);
  void cancelConfirmed(admission::WorkId work);

  requests::DeduplicationDecision beginOnce(const std::string& id,
                                            unsigned attempt,
                                            std::uint64_t fingerprint,
                                            const std::optional<base::ShardId>& shard);
  void settleRan(const std::string& id, requests::StoredAnswer answer);
  void settleUnknown(const std::string& id);
  void settleNotRun(const std::string& id);

  // Control thread: the grant was renewed or changed.
  void setGrant(std::shared_ptr<const GrantView> grant);
  // Control thread: shards that are being released take no new requests.
  void setWithheldShards(const ownership::ShardSet& shards);
  // Control thread: whether requests for any of these shards are still in flight.
  bool hasRequestsInFlight(const ownership::ShardSet& shards) const;
  // Control thread: how many requests may be in flight from now on.
  void setSlots(unsigned slots);
  // Control thread: the server answered a grant or a report.
  void onServerReport(const admission::ServerReport& report);
  // Control thread: this VM is no longer the holder.
  void tenancyLost();
  // Control thread: the server crashed; returns what was running on it or broke off shortly before.
  std::vector<requests::WorkIdentity> takeCrashSuspects();

  std::size_t inFlight() const;
  std::size_t queued() const;
  bool isCold() const;

private:
  struct Waiter
  {
    std::condition_variable wakeUp;
    std::optional<admission::GateAction> action;
  };
  struct Running
  {
    std::optional<base::ShardId> shard;
    std::optional<requests::WorkIdentity> identity;
  };
  struct Suspect
  {
    requests::WorkIdentity identity;
    base::TimePoint brokenAt;
  };

  void perform(const admission::GateActions& actions);
  void waitForAction(Waiter& waiter,
                     admission::WorkId work,
                     const AdmissionRequest& request,
                     std::unique_lock<std::mutex>& lock);
  base::TimePoint responsibleSince(const std::optional<base::ShardId>& shard) const;
  void forgetOldSuspects(base::TimePoint now);

  const base::ServerId server_;
  const std::string address_;
  const base::DomainId domain_;
  const base::TimePoint startedAt_;
  std::atomic<std::shared_ptr<const GrantView>> grant_;

  mutable std::mutex mutex_;
  admission::ServerGate gate_;
  std::uint64_t nextWork_ = 1;
  std::unordered_map<admission::WorkId, Waiter*> waiters_;
  std::unordered_map<admission::WorkId, Running> running_;
  std::vector<Suspect> suspects_;
  ownership::ShardSet withheld_;
  ownership::ShardSet knownShards_;
  // When shards came that were not there at the start of the tenancy.
  std::map<base::ShardId, base::TimePoint> arrivals_;

  std::mutex ledgerMutex_;
  requests::DeduplicationTable ledger_;
};

} // namespace sycamore::router

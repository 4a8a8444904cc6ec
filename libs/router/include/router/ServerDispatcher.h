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

// The shards of its server that the lease holder may dispatch to, and until when.
struct GrantView
{
  base::Term term;
  base::Generation generation;
  ownership::ShardSet shards;
  // Time until which both the votes and the server's grant are valid; checked immediately before
  // each send.
  base::TimePoint validUntil;
};

// A request for a slot.
struct AdmissionRequest
{
  // Not set for requests that any server of the service may run.
  std::optional<base::ShardId> shard;
  // Key by which the queue shares slots fairly.
  std::string flow;
  base::TimePoint deadline;
  std::size_t bytes = 0;
  // A request that any server may run is refused after this wait, so that another server is tried.
  base::Duration maxWait = base::Duration::max();
  // Whether no other request may run on the server at the same time (see requests::Quarantine).
  bool exclusive = false;
  // Returns whether the sender of the request has disconnected; polled while the request waits.
  std::function<bool()> isSenderDisconnected;
};

// Result of a request for a slot.
struct Admission
{
  bool admitted = false;
  admission::WorkId work;
  base::Term term;
  // Reason for a refusal; the request has not run.
  requests::Reason reason = requests::Reason::None;
  base::Duration retryAfter{};
};

// Dispatches to one backend server, at the entry VM that holds its server lease: slots, queue,
// cold-start limit, the deduplication table of non-idempotent requests, and the requests in flight.
// One instance exists for the duration of the lease. Thread-safe.
class ServerDispatcher
{
public:
  ServerDispatcher(base::ServerId server,
                   std::string address,
                   base::DomainId domain,
                   admission::ServerGateSettings gate,
                   requests::DeduplicationSettings deduplication,
                   base::TimePoint now,
                   requests::WallTime wallNow);

  const base::ServerId& server() const { return server_; }
  const std::string& address() const { return address_; }
  const base::DomainId& domain() const { return domain_; }

  // Blocks the calling thread until a slot is assigned or refused, at most until the deadline.
  Admission admit(const AdmissionRequest& request);

  // Returns whether the grant is valid now and covers the shard.
  bool mayDispatch(const std::optional<base::ShardId>& shard) const;

  // Records the identity of a running request as evidence in case the server crashes.
  void onStarted(admission::WorkId work, const requests::WorkIdentity& identity);

  // The attempt has certainly ended. If its connection was lost, its identity is kept as crash
  // evidence.
  void onFinished(admission::WorkId work, const requests::Classification& result);
  // The attempt was abandoned and may still run at the server; its slot stays held until its end is
  // certain. Its identity is kept as crash evidence.
  void onAbandoned(admission::WorkId work);
  // The server confirmed that it cancelled the request.
  void onCancelConfirmed(admission::WorkId work);

  // The following four call the deduplication table under its mutex.
  requests::DeduplicationDecision beginDeduplicated(const std::string& id,
                                                    unsigned attempt,
                                                    std::uint64_t fingerprint,
                                                    const std::optional<base::ShardId>& shard);
  void markRan(const std::string& id, requests::StoredAnswer answer);
  void markUnknown(const std::string& id);
  void markNotRun(const std::string& id);

  // Control thread: sets the renewed or changed grant.
  void setGrant(std::shared_ptr<const GrantView> grant);
  // Control thread: sets the shards that are being released; they accept no new requests.
  void setWithheldShards(const ownership::ShardSet& shards);
  // Control thread: returns whether requests for any of these shards are still in flight.
  bool hasRequestsInFlight(const ownership::ShardSet& shards) const;
  // Control thread: sets the maximum number of requests in flight.
  void setSlots(unsigned slots);
  // Control thread: processes the server's report, which is part of its answer to a grant.
  void onServerReport(const admission::ServerReport& report);
  // Control thread: this VM no longer holds the server lease.
  void onLeaseLost();
  // Control thread: the server crashed. Returns the requests that were running on it, and those
  // that were abandoned or lost their connection shortly before; the latter are returned only once.
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
  struct RunningRequest
  {
    std::optional<base::ShardId> shard;
    std::optional<requests::WorkIdentity> identity;
  };
  struct CrashSuspect
  {
    requests::WorkIdentity identity;
    base::TimePoint connectionLostAt;
  };

  void perform(const admission::GateActions& actions);
  void waitForAction(Waiter& waiter,
                     admission::WorkId work,
                     const AdmissionRequest& request,
                     std::unique_lock<std::mutex>& lock);
  base::TimePoint responsibleSince(const std::optional<base::ShardId>& shard) const;
  void removeExpiredSuspects(base::TimePoint now);

  const base::ServerId server_;
  const std::string address_;
  const base::DomainId domain_;
  const base::TimePoint startedAt_;
  std::atomic<std::shared_ptr<const GrantView>> grant_;

  mutable std::mutex mutex_;
  admission::ServerGate gate_;
  std::uint64_t nextWork_ = 1;
  std::unordered_map<admission::WorkId, Waiter*> waiters_;
  std::unordered_map<admission::WorkId, RunningRequest> running_;
  std::vector<CrashSuspect> suspects_;
  ownership::ShardSet withheld_;
  ownership::ShardSet grantedShards_;
  // Time of the latest arrival of each shard that was not in the first grant of the lease, or was
  // released and granted again.
  std::map<base::ShardId, base::TimePoint> shardArrivals_;

  std::mutex deduplicationMutex_;
  requests::DeduplicationTable deduplication_;
};

} // namespace sycamore::router

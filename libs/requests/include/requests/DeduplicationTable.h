#pragma once

#include <base/Time.h>
#include <requests/Outcome.h>
#include <requests/Reason.h>
#include <requests/StoredAnswer.h>
#include <requests/Uuid7.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace sycamore::requests {

struct DeduplicationSettings
{
  // New non-idempotent work is refused beyond this many remembered requests.
  std::size_t maxEntries = 65536;
  // Bound on the bytes of all kept answers; beyond it the oldest bodies are dropped.
  std::size_t maxAnswerBytes = 16 * 1024 * 1024;
  // Larger answers are remembered without their body.
  std::size_t maxStoredAnswerBytes = 16 * 1024;
  // Requests whose id is older are refused. A settled request is remembered this long.
  base::Duration retention = std::chrono::minutes(2);
  // Largest difference between a caller's clock and ours.
  base::Duration clockSkew = std::chrono::seconds(5);
};

// A non-idempotent request at the dispatcher.
struct DeduplicationQuery
{
  std::string_view id;
  // Value of Sycamore-Attempt, 1 for the first send.
  unsigned attempt = 1;
  // Digest of method, key and body (or what is known of them). The same id with another digest is
  // refused as a bad request.
  std::uint64_t fingerprint = 0;
  // When this ledger became the only one for the request's key: the start of the tenancy, or the
  // time when the shard came to this server, whichever is later. Requests issued before may be in
  // another ledger.
  base::TimePoint responsibleSince;
};

// What to do with a request.
enum class DeduplicationVerdict
{
  // Run it; it is now in progress and must be settled.
  Run,
  // Answer with the kept answer; it ran.
  ReplayAnswer,
  // Refuse with `reason` and `outcome`.
  Refuse
};

struct DeduplicationDecision
{
  DeduplicationVerdict verdict = DeduplicationVerdict::Refuse;
  Outcome outcome = Outcome::Unknown;
  Reason reason = Reason::None;
  // Set for ReplayAnswer.
  std::optional<StoredAnswer> answer;
  // Suggested wait when the ledger is full.
  base::Duration retryAfter{};
};

// Runs non-idempotent requests at most once per tenancy and refuses what an earlier ledger may have
// run. It forgets a request only after its id has become too old to be accepted; when full, it
// refuses new work instead. Ages are measured on a wall time derived from the monotonic clock, so
// that a step of the host's calendar clock cannot make a forgotten id acceptable again. Not
// thread-safe: the owner holds a mutex.
class DeduplicationTable
{
public:
  // `start` and `wallStart` are one moment, read from both clocks.
  DeduplicationTable(DeduplicationSettings settings, base::TimePoint start, WallTime wallStart);
  DeduplicationTable(const DeduplicationTable&) = delete;
  DeduplicationTable& operator=(const DeduplicationTable&) = delete;

  // Decides on an arriving request and records it as in progress if it may run. It stays so over
  // all attempts that follow from this one call.
  DeduplicationDecision begin(const DeduplicationQuery& request, base::TimePoint now);

  // The request ran and was answered. Also corrects a request that was marked unknown.
  void markRan(std::string_view id, StoredAnswer answer, base::TimePoint now);

  // It is not known whether the request ran; resends are refused as resend-unknown.
  void markUnknown(std::string_view id, base::TimePoint now);

  // The request provably did not run: it is forgotten and a resend may run.
  void markNotRun(std::string_view id, base::TimePoint now);

  std::size_t size() const { return entries_.size(); }
  std::size_t answerBytes() const { return answerBytes_; }

private:
  enum class State
  {
    InProgress,
    Ran,
    Unknown
  };
  struct Entry
  {
    State state = State::InProgress;
    std::uint64_t fingerprint = 0;
    StoredAnswer answer;
    // Set once settled.
    std::optional<WallTime> expiry;
    // Position in bodies_ while a body is kept.
    std::optional<std::list<Uuid7>::iterator> body;
  };
  using Entries = std::unordered_map<Uuid7, Entry>;
  using Expiry = std::pair<WallTime, Uuid7>;

  WallTime wallAt(base::TimePoint now) const;
  std::optional<DeduplicationDecision> refuseByTime(const DeduplicationQuery& request,
                                                    const Uuid7& id,
                                                    WallTime wallNow) const;
  DeduplicationDecision repeat(const Entry& entry, const DeduplicationQuery& request) const;
  DeduplicationDecision refuseFull(WallTime wallNow) const;
  Entries::iterator find(std::string_view id);
  void settle(Entries::iterator entry, State state, base::TimePoint now);
  void keep(Entries::iterator entry, StoredAnswer answer);
  void dropBody(Entry& entry);
  void forget(Entries::iterator entry);
  void forgetOld(WallTime wallNow);

  DeduplicationSettings settings_;
  base::TimePoint start_;
  WallTime wallStart_;
  Entries entries_;
  // Settled entries; one in progress is never forgotten.
  std::set<Expiry> expiries_;
  // Ids with a kept body, oldest first.
  std::list<Uuid7> bodies_;
  std::size_t answerBytes_ = 0;
};

} // namespace sycamore::requests

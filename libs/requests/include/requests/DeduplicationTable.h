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
  // Maximum number of entries. A full table refuses new non-idempotent requests.
  std::size_t maxEntries = 65536;
  // Limit on the total size of the stored answers; above it the oldest bodies are dropped.
  std::size_t maxAnswerBytes = 16 * 1024 * 1024;
  // Larger answers are stored without their body.
  std::size_t maxStoredAnswerBytes = 16 * 1024;
  // Requests whose id is older are refused. A settled request keeps its entry for this long.
  base::Duration retention = std::chrono::minutes(2);
  // Largest allowed difference between the clocks of a caller and this entry VM.
  base::Duration clockSkew = std::chrono::seconds(5);
};

// A non-idempotent request that arrived at the dispatcher.
struct DeduplicationQuery
{
  std::string_view id;
  // Value of Sycamore-Attempt, 1 for the first send.
  unsigned attempt = 1;
  // Digest of method, key and body, as far as they are known. The same id with another digest is
  // refused as a bad request.
  std::uint64_t fingerprint = 0;
  // Time at which this table became the only one for the request's key: the start of the server
  // lease or the arrival of the shard at this server, whichever is later. Requests issued before
  // may be in another table.
  base::TimePoint responsibleSince;
};

enum class DeduplicationVerdict
{
  // Run the request. It is now in progress and must be settled by one of the mark methods.
  Run,
  // The request ran: send the stored answer.
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
  // Suggested wait if the table is full.
  base::Duration retryAfter{};
};

// Ensures that a non-idempotent request runs at most once per server lease, and refuses requests
// that may have run under an earlier table. An entry is removed only after its id has become too
// old to be accepted; a full table refuses new requests instead. Ages are measured on a wall time
// derived from the monotonic clock, so that a step of the host's calendar clock cannot make a
// removed id acceptable again. Not thread-safe: the owner holds a mutex.
class DeduplicationTable
{
public:
  // `start` and `wallStart` are the same moment, read from both clocks.
  DeduplicationTable(DeduplicationSettings settings, base::TimePoint start, WallTime wallStart);
  DeduplicationTable(const DeduplicationTable&) = delete;
  DeduplicationTable& operator=(const DeduplicationTable&) = delete;

  // Decides on an arriving request and records it as in progress if it may run. It stays in
  // progress over all attempts that the dispatcher makes after this one call.
  DeduplicationDecision begin(const DeduplicationQuery& request, base::TimePoint now);

  // Records that the request ran, and stores its answer. Also corrects a request that was marked
  // unknown.
  void markRan(std::string_view id, StoredAnswer answer, base::TimePoint now);

  // Records that the request may have run; resends are refused as resend-unknown.
  void markUnknown(std::string_view id, base::TimePoint now);

  // Removes a request that provably did not run; a resend may run.
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
    // Set once the request is settled.
    std::optional<WallTime> expiry;
    // Position in bodies_ while a body is stored.
    std::optional<std::list<Uuid7>::iterator> body;
  };
  using Entries = std::unordered_map<Uuid7, Entry>;
  using Expiry = std::pair<WallTime, Uuid7>;

  WallTime wallAt(base::TimePoint now) const;
  std::optional<DeduplicationDecision> refuseByTime(const DeduplicationQuery& request,
                                                    const Uuid7& id,
                                                    WallTime wallNow) const;
  DeduplicationDecision decideResend(const Entry& entry, const DeduplicationQuery& request) const;
  DeduplicationDecision refuseWhenFull(WallTime wallNow) const;
  Entries::iterator find(std::string_view id);
  void settle(Entries::iterator entry, State state, base::TimePoint now);
  void storeAnswer(Entries::iterator entry, StoredAnswer answer);
  void dropBody(Entry& entry);
  void removeEntry(Entries::iterator entry);
  void removeExpired(WallTime wallNow);

  DeduplicationSettings settings_;
  base::TimePoint start_;
  WallTime wallStart_;
  Entries entries_;
  // Settled entries only: an entry in progress never expires.
  std::set<Expiry> expiries_;
  // Ids of entries with a stored body, oldest first.
  std::list<Uuid7> bodies_;
  std::size_t answerBytes_ = 0;
};

} // namespace sycamore::requests

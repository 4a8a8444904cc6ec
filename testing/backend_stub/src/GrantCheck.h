#pragma once

#include "Work.h"

#include <base/Time.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace sycamore::backend_stub {

// The server's view of its grant: which shards it may serve, under which term, until when.
// Deliberately implemented independently of libs/ownership, so that a bug there is not repeated
// here. Thread-safe.
class GrantCheck
{
public:
  // epoch: start time of this process; echoed times before it belong to another incarnation. With
  // checkTokens off, grants are accepted in the same way, but no work is refused for lack of one.
  GrantCheck(base::TimePoint epoch, bool checkTokens);

  // Applies a grant message. Returns the reason for its refusal, or "" if the grant is now valid.
  // Throws json exceptions and base::Error on malformed messages.
  std::string accept(const nlohmann::json& grant, base::TimePoint now);

  // Returns why the work may not start now ("not-owner", "stale-term"), or "" if it may.
  std::string refusal(const Work& work, base::TimePoint now) const;

  // Returns why running work may not commit now, or "" if it may. A release does not prevent the
  // commit.
  std::string commitRefusal(const Work& work, base::TimePoint now) const;

  // Counts the work as running on its shard and key if it may start. Returns the same as refusal().
  std::string begin(const Work& work, base::TimePoint now);
  void end(const Work& work);

  // Refuses new work on the shards and keys of the message and waits until no work runs there.
  // Returns false if work still runs at the deadline or if the message is of another term. The
  // shards and keys stay released until they are listed by a grant that echoes a time after the
  // release or that has a higher generation or term.
  bool release(const nlohmann::json& message, base::TimePoint deadline);

  std::uint64_t highestTerm() const;

private:
  struct GrantedSet
  {
    std::set<std::uint32_t> shards;
    std::set<std::string> keys;
  };
  struct Grant
  {
    std::uint64_t term = 0;
    std::uint64_t generation = 0;
    std::int64_t echoNs = 0;
    base::TimePoint validUntil{};
    nlohmann::json setDigest;
    GrantedSet set;
  };

  std::string checkOrder(const nlohmann::json& grant, base::TimePoint now) const;
  static GrantedSet parseSet(const nlohmann::json& message);
  void clearReleases(const Grant& next);
  void markReleased(const GrantedSet& set, base::TimePoint time);
  bool owns(const Work& work) const;
  bool isReleased(const Work& work) const;
  std::string grantRefusal(const Work& work, base::TimePoint now) const;
  std::string refusalLocked(const Work& work, base::TimePoint now) const;
  bool anyRunning(const GrantedSet& set) const;

  const base::TimePoint epoch_;
  const bool checkTokens_;
  mutable std::mutex mutex_;
  std::condition_variable ended_;
  std::uint64_t highestTerm_ = 0;
  Grant grant_;
  // Released shards and keys with the time of the release; TimePoint::max() while release() waits.
  std::map<std::uint32_t, base::TimePoint> releasedShards_;
  std::map<std::string, base::TimePoint> releasedKeys_;
  std::map<std::uint32_t, int> runningShards_;
  std::map<std::string, int> runningKeys_;
};

} // namespace sycamore::backend_stub

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

// The server's view of its grant: which shards it may serve, under which term, until when. Written
// apart from libs/ownership on purpose, so that a mistake there is not repeated here. Thread-safe.
class GrantCheck
{
public:
  // epoch: start of this process; echoes from before it belong to another incarnation. A server
  // that doesn't check tokens accepts grants alike, but refuses no work for want of one.
  GrantCheck(base::TimePoint epoch, bool checkTokens);

  // Applies a grant message. Returns why it is refused, or "" if it holds now. Throws json
  // exceptions and base::Error on malformed messages.
  std::string accept(const nlohmann::json& grant, base::TimePoint now);

  // Why the work may not run now ("not-owner", "stale-term"), or "".
  std::string refusal(const Work& work, base::TimePoint now) const;

  // Why work that has begun may not commit now, or "". A release lets it finish.
  std::string commitRefusal(const Work& work, base::TimePoint now) const;

  // Counts the work as running on its shard if it may run; returns refusal() otherwise.
  std::string begin(const Work& work, base::TimePoint now);
  void end(const Work& work);

  // Stops new work on the shards and keys, waits until none runs there. False: still running at
  // the deadline, or of another term. They stay stopped until a grant that echoes a time after
  // the release, or of a higher generation or term, lists them again.
  bool release(const nlohmann::json& message, base::TimePoint deadline);

  std::uint64_t highestTerm() const;

private:
  struct Set
  {
    std::set<std::uint32_t> shards;
    std::set<std::string> keys;
  };
  struct Grant
  {
    std::uint64_t term = 0;
    std::uint64_t generation = 0;
    std::int64_t echo = 0;
    base::TimePoint until{};
    nlohmann::json setDigest;
    Set set;
  };

  std::string checkOrder(const nlohmann::json& grant, base::TimePoint now) const;
  static Set parseSet(const nlohmann::json& message);
  void liftReleases(const Grant& next);
  void markReleased(const Set& set, base::TimePoint time);
  bool owns(const Work& work) const;
  bool isReleased(const Work& work) const;
  std::string lapse(const Work& work, base::TimePoint now) const;
  std::string refusalLocked(const Work& work, base::TimePoint now) const;
  bool anyRunning(const Set& set) const;

  const base::TimePoint epoch_;
  const bool checkTokens_;
  mutable std::mutex mutex_;
  std::condition_variable ended_;
  std::uint64_t highestTerm_ = 0;
  Grant grant_;
  // Released shards and keys with the time of the release; TimePoint::max() while one waits.
  std::map<std::uint32_t, base::TimePoint> releasedShards_;
  std::map<std::string, base::TimePoint> releasedKeys_;
  std::map<std::uint32_t, int> runningShards_;
  std::map<std::string, int> runningKeys_;
};

} // namespace sycamore::backend_stub

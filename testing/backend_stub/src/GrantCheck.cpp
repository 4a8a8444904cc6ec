#include "GrantCheck.h"

#include "ShardRanges.h"

#include <algorithm>

namespace sycamore::backend_stub {

using nlohmann::json;

namespace {

base::TimePoint toTime(std::int64_t ns)
{
  return base::TimePoint(std::chrono::nanoseconds(ns));
}

// Removes the entries of releases that happened before the given time.
template<typename Map>
void eraseBefore(Map& releases, base::TimePoint time)
{
  std::erase_if(releases, [&](const auto& entry) { return entry.second < time; });
}

template<typename Map>
void decrement(Map& counts, const typename Map::key_type& key)
{
  const auto found = counts.find(key);
  if (found != counts.end() && --found->second == 0) {
    counts.erase(found);
  }
}

} // namespace

GrantCheck::GrantCheck(base::TimePoint epoch, bool checkTokens)
  : epoch_(epoch)
  , checkTokens_(checkTokens)
{
}

std::string GrantCheck::checkOrder(const json& message, base::TimePoint now) const
{
  const auto term = message.at("term").get<std::uint64_t>();
  const auto echoNs = message.at("echo_ns").get<std::int64_t>();
  if (term < highestTerm_) {
    return "stale-term";
  }
  if (toTime(echoNs) > now) {
    return "bad-echo";
  }
  // A delayed grant of the same term must not restore an older set of shards.
  if (term == grant_.term && (message.at("generation").get<std::uint64_t>() < grant_.generation ||
                              echoNs < grant_.echoNs)) {
    return "reordered";
  }
  return "";
}

std::string GrantCheck::accept(const json& message, base::TimePoint now)
{
  const std::lock_guard lock(mutex_);
  std::string reason = checkOrder(message, now);
  if (!reason.empty()) {
    return reason;
  }
  Grant next;
  next.term = message.at("term").get<std::uint64_t>();
  next.generation = message.at("generation").get<std::uint64_t>();
  next.echoNs = message.at("echo_ns").get<std::int64_t>();
  next.validUntil =
    toTime(next.echoNs) + base::milliseconds(message.at("ttl_ms").get<std::int64_t>());
  next.setDigest = message.value("set_digest", json());
  const bool sameSet = !next.setDigest.is_null() && next.setDigest == grant_.setDigest;
  const bool hasSet = message.contains("shards") || message.contains("overrides");
  if (!hasSet && !sameSet) {
    return "unknown-set";
  }
  next.set = hasSet ? parseSet(message) : grant_.set;
  // A higher term invalidates the old one even if its grant is not valid yet: the new holder needs
  // one call to learn the server's time.
  highestTerm_ = next.term;
  clearReleases(next);
  grant_ = std::move(next);
  return grant_.validUntil <= now || toTime(grant_.echoNs) < epoch_ ? "expired" : "";
}

GrantCheck::GrantedSet GrantCheck::parseSet(const json& message)
{
  return { parseShardRanges(message.value("shards", "")),
           message.value("overrides", std::set<std::string>()) };
}

void GrantCheck::clearReleases(const Grant& next)
{
  if (next.term > grant_.term) {
    releasedShards_.clear();
    releasedKeys_.clear();
    return;
  }
  const bool newer = next.generation > grant_.generation;
  const base::TimePoint before = newer ? base::TimePoint::max() : toTime(next.echoNs);
  eraseBefore(releasedShards_, before);
  eraseBefore(releasedKeys_, before);
}

bool GrantCheck::owns(const Work& work) const
{
  if (!work.key && !work.shard) {
    return true;
  }
  return (work.key && grant_.set.keys.contains(*work.key)) ||
         (work.shard && grant_.set.shards.contains(*work.shard));
}

bool GrantCheck::isReleased(const Work& work) const
{
  return (work.key && releasedKeys_.contains(*work.key)) ||
         (work.shard && releasedShards_.contains(*work.shard));
}

std::string GrantCheck::grantRefusal(const Work& work, base::TimePoint now) const
{
  if (!checkTokens_) {
    return "";
  }
  if (work.term < highestTerm_) {
    return "stale-term";
  }
  const bool valid =
    work.term == grant_.term && now < grant_.validUntil && toTime(grant_.echoNs) >= epoch_;
  return valid && owns(work) ? "" : "not-owner";
}

std::string GrantCheck::refusalLocked(const Work& work, base::TimePoint now) const
{
  return checkTokens_ && isReleased(work) ? "not-owner" : grantRefusal(work, now);
}

std::string GrantCheck::commitRefusal(const Work& work, base::TimePoint now) const
{
  const std::lock_guard lock(mutex_);
  return grantRefusal(work, now);
}

std::string GrantCheck::refusal(const Work& work, base::TimePoint now) const
{
  const std::lock_guard lock(mutex_);
  return refusalLocked(work, now);
}

std::string GrantCheck::begin(const Work& work, base::TimePoint now)
{
  const std::lock_guard lock(mutex_);
  std::string reason = refusalLocked(work, now);
  if (reason.empty()) {
    if (work.shard) {
      ++runningShards_[*work.shard];
    }
    if (work.key) {
      ++runningKeys_[*work.key];
    }
  }
  return reason;
}

void GrantCheck::end(const Work& work)
{
  const std::lock_guard lock(mutex_);
  if (work.shard) {
    decrement(runningShards_, *work.shard);
  }
  if (work.key) {
    decrement(runningKeys_, *work.key);
  }
  ended_.notify_all();
}

bool GrantCheck::anyRunning(const GrantedSet& set) const
{
  const auto runs = [](const auto& running, const auto& wanted) {
    return std::any_of(
      wanted.begin(), wanted.end(), [&](const auto& entry) { return running.contains(entry); });
  };
  return runs(runningShards_, set.shards) || runs(runningKeys_, set.keys);
}

void GrantCheck::markReleased(const GrantedSet& set, base::TimePoint time)
{
  for (const auto shard : set.shards) {
    releasedShards_[shard] = time;
  }
  for (const auto& key : set.keys) {
    releasedKeys_[key] = time;
  }
}

bool GrantCheck::release(const json& message, base::TimePoint deadline)
{
  const auto term = message.at("term").get<std::uint64_t>();
  const GrantedSet set = parseSet(message);
  const base::SteadyClock clock{};
  std::unique_lock lock(mutex_);
  if (term != grant_.term) {
    return false;
  }
  markReleased(set, base::TimePoint::max());
  while (anyRunning(set) && clock.now() < deadline) {
    ended_.wait_for(lock, deadline - clock.now());
  }
  if (term != grant_.term) {
    return false;
  }
  markReleased(set, clock.now());
  return !anyRunning(set);
}

std::uint64_t GrantCheck::highestTerm() const
{
  const std::lock_guard lock(mutex_);
  return highestTerm_;
}

} // namespace sycamore::backend_stub

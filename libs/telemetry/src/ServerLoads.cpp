#include <telemetry/ServerLoads.h>

#include <telemetry/BurnRateWindows.h>

#include <algorithm>

namespace sycamore::telemetry {

namespace {

constexpr base::Duration kBucketWidth = std::chrono::seconds(10);
constexpr std::size_t kBucketsPerMinute = 6;
constexpr std::size_t kBuckets = kLoadHistoryMinutes * kBucketsPerMinute;

} // namespace

ServerLoads::ServerLoads()
  : buckets_(kBucketWidth, kBuckets)
{
}

void ServerLoads::record(const base::ServerId& server, std::uint64_t requests, base::TimePoint now)
{
  const auto index = indexOf(server);
  Loads* loads = index ? buckets_.bucketAt(now) : nullptr;
  if (loads == nullptr || requests == 0) {
    return;
  }
  if (loads->size() <= *index) {
    loads->resize(*index + 1);
  }
  (*loads)[*index] += static_cast<std::uint32_t>(requests);
}

std::optional<std::size_t> ServerLoads::indexOf(const base::ServerId& server)
{
  const auto found = indexes_.find(server);
  if (found != indexes_.end()) {
    return found->second;
  }
  if (indexes_.size() >= kMaxServers) {
    return std::nullopt;
  }
  std::size_t index = indexes_.size();
  if (!freeIndexes_.empty()) {
    index = freeIndexes_.back();
    freeIndexes_.pop_back();
  }
  indexes_.emplace(server, index);
  return index;
}

bool ServerLoads::isIdle(std::size_t index, base::TimePoint now) const
{
  bool hasNoRequests = true;
  buckets_.visit(now, 0, kBuckets, [&](const Loads& loads) {
    hasNoRequests = hasNoRequests && (loads.size() <= index || loads[index] == 0);
  });
  return hasNoRequests;
}

void ServerLoads::retain(const std::vector<base::ServerId>& servers, base::TimePoint now)
{
  for (auto it = indexes_.begin(); it != indexes_.end();) {
    const bool isListed = std::find(servers.begin(), servers.end(), it->first) != servers.end();
    if (isListed || !isIdle(it->second, now)) {
      ++it;
    } else {
      freeIndexes_.push_back(it->second);
      it = indexes_.erase(it);
    }
  }
}

LoadTable ServerLoads::table(base::TimePoint now) const
{
  LoadTable table;
  for (const auto& [server, index] : indexes_) {
    auto& minutes = table[server];
    for (std::size_t minute = 0; minute < kLoadHistoryMinutes; ++minute) {
      std::uint64_t sum = 0;
      const std::size_t first = minute * kBucketsPerMinute;
      buckets_.visit(
        now, first, first + kBucketsPerMinute, [&, serverIndex = index](const Loads& loads) {
          sum += loads.size() > serverIndex ? loads[serverIndex] : 0;
        });
      minutes.push_back(sum);
    }
  }
  return table;
}

std::optional<double> imbalance(const LoadTable& loads, std::size_t minute)
{
  std::uint64_t sum = 0;
  std::uint64_t largest = 0;
  for (const auto& [server, minutes] : loads) {
    sum += minutes.at(minute);
    largest = std::max(largest, minutes.at(minute));
  }
  if (sum == 0) {
    return std::nullopt;
  }
  return static_cast<double>(largest) * static_cast<double>(loads.size()) /
         static_cast<double>(sum);
}

} // namespace sycamore::telemetry

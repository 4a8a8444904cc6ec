#include <telemetry/ServerLoads.h>

#include <telemetry/BurnWindows.h>

#include <algorithm>

namespace sycamore::telemetry {

namespace {

constexpr base::Duration kWidth = std::chrono::seconds(10);
constexpr std::size_t kBucketsPerMinute = 6;
constexpr std::size_t kBuckets = kLoadSteps * kBucketsPerMinute;

} // namespace

ServerLoads::ServerLoads()
  : ring_(kWidth, kBuckets)
{
}

void ServerLoads::record(const base::ServerId& server, std::uint64_t requests, base::TimePoint now)
{
  const auto index = indexOf(server);
  Loads* loads = index ? ring_.at(now) : nullptr;
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
  if (!free_.empty()) {
    index = free_.back();
    free_.pop_back();
  }
  indexes_.emplace(server, index);
  return index;
}

bool ServerLoads::isIdle(std::size_t index, base::TimePoint now) const
{
  bool idle = true;
  ring_.visit(now, 0, kBuckets, [&](const Loads& loads) {
    idle = idle && (loads.size() <= index || loads[index] == 0);
  });
  return idle;
}

void ServerLoads::retain(const std::vector<base::ServerId>& servers, base::TimePoint now)
{
  for (auto it = indexes_.begin(); it != indexes_.end();) {
    const bool named = std::find(servers.begin(), servers.end(), it->first) != servers.end();
    if (named || !isIdle(it->second, now)) {
      ++it;
    } else {
      free_.push_back(it->second);
      it = indexes_.erase(it);
    }
  }
}

LoadTable ServerLoads::table(base::TimePoint now) const
{
  LoadTable table;
  for (const auto& [server, index] : indexes_) {
    auto& minutes = table[server];
    for (std::size_t minute = 0; minute < kLoadSteps; ++minute) {
      std::uint64_t sum = 0;
      const std::size_t first = minute * kBucketsPerMinute;
      ring_.visit(now, first, first + kBucketsPerMinute, [&, at = index](const Loads& loads) {
        sum += loads.size() > at ? loads[at] : 0;
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

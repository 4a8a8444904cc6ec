#include <admission/ServerPicker.h>

#include <cmath>
#include <numeric>

namespace sycamore::admission {

namespace {

// Weight of one answer in the long-term mean latency.
constexpr double kBaselineWeight = 1.0 / 64;

// Weight of an answer that is faster than expected. Slower answers replace the expectation at once.
constexpr double kRecentFallWeight = 0.3;

double toNanos(base::Duration duration)
{
  return static_cast<double>(duration.count());
}

} // namespace

ServerPicker::ServerPicker(PickerSettings settings)
  : settings_(settings)
{
}

void ServerPicker::add(const base::ServerId& server)
{
  if (find(server) != nullptr) {
    return;
  }
  Server added;
  added.id = server;
  added.recentNanos = toNanos(settings_.initialLatency);
  added.baselineNanos = added.recentNanos;
  servers_.push_back(std::move(added));
  rebuildCandidates();
}

void ServerPicker::remove(const base::ServerId& server)
{
  std::erase_if(servers_, [&server](const Server& known) { return known.id == server; });
  rebuildCandidates();
}

void ServerPicker::setAvailable(const base::ServerId& server, bool available)
{
  if (Server* const found = find(server)) {
    found->isAvailable = available;
    rebuildCandidates();
  }
}

void ServerPicker::onSent(const base::ServerId& server, WorkId work, base::TimePoint now)
{
  if (Server* const found = find(server)) {
    found->inFlight.push_back({ work, now });
  }
}

void ServerPicker::onFinished(const base::ServerId& server,
                              WorkId work,
                              bool recordLatency,
                              base::TimePoint now)
{
  Server* const found = find(server);
  if (found == nullptr) {
    return;
  }
  const auto sent = std::find_if(found->inFlight.begin(),
                                 found->inFlight.end(),
                                 [work](const Sent& candidate) { return candidate.work == work; });
  if (sent == found->inFlight.end()) {
    return;
  }
  const double latency = toNanos(now - sent->sentAt);
  found->inFlight.erase(sent);
  if (recordLatency) {
    updateLatency(*found, latency, now);
  }
}

void ServerPicker::onOverloaded(const base::ServerId& server,
                                base::Duration wait,
                                base::TimePoint now)
{
  if (Server* const found = find(server)) {
    found->recentNanos = std::max(expectedLatency(*found, now), toNanos(wait));
    found->updatedAt = now;
  }
}

void ServerPicker::updateLatency(Server& server, double latencyNanos, base::TimePoint now) const
{
  const double expected = expectedLatency(server, now);
  server.recentNanos = latencyNanos >= expected
                         ? latencyNanos
                         : expected + (latencyNanos - expected) * kRecentFallWeight;
  server.baselineNanos += (latencyNanos - server.baselineNanos) * kBaselineWeight;
  server.updatedAt = now;
}

// Decays exponentially from the last observation to the long-term mean, with the configured
// half-life.
double ServerPicker::expectedLatency(const Server& server, base::TimePoint now) const
{
  if (server.recentNanos <= server.baselineNanos) {
    return server.recentNanos;
  }
  const double age = toNanos(now - server.updatedAt) / toNanos(settings_.halfLife);
  return server.baselineNanos + (server.recentNanos - server.baselineNanos) * std::exp2(-age);
}

// The age of the oldest unanswered request raises the expectation, so that a slow server is noticed
// before it answers.
double ServerPicker::expectedWait(const Server& server, base::TimePoint now) const
{
  double latency = expectedLatency(server, now);
  if (!server.inFlight.empty()) {
    latency = std::max(latency, toNanos(now - server.inFlight.front().sentAt));
  }
  return latency * static_cast<double>(server.inFlight.size() + 1);
}

std::optional<base::ServerId> ServerPicker::bestCandidate(base::TimePoint now,
                                                          const base::ServerId* excluded,
                                                          std::size_t offset) const
{
  const std::size_t count = std::min(settings_.maxCandidates, candidates_.size());
  const Server* chosen = nullptr;
  double leastWait = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const Server& server = servers_[candidates_[(i + offset) % count]];
    if (excluded != nullptr && server.id == *excluded) {
      continue;
    }
    const double wait = expectedWait(server, now);
    if (chosen == nullptr || wait < leastWait) {
      chosen = &server;
      leastWait = wait;
    }
  }
  return chosen == nullptr ? std::nullopt : std::optional(chosen->id);
}

void ServerPicker::rebuildCandidates()
{
  candidates_.clear();
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].isAvailable) {
      candidates_.push_back(i);
    }
  }
}

ServerPicker::Server* ServerPicker::find(const base::ServerId& server)
{
  const auto found = std::find_if(servers_.begin(), servers_.end(), [&server](const Server& known) {
    return known.id == server;
  });
  return found == servers_.end() ? nullptr : &*found;
}

} // namespace sycamore::admission

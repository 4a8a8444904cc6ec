#include <admission/ServerPicker.h>

#include <cmath>
#include <numeric>

namespace sycamore::admission {

namespace {

// Weight of one answer in the mean that a server returns to.
constexpr double kSlowWeight = 1.0 / 64;

// Weight of an answer that is faster than expected. Slower ones count at once.
constexpr double kFallWeight = 0.3;

double nanosOf(base::Duration duration)
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
  added.fastNanos = nanosOf(settings_.initialLatency);
  added.slowNanos = added.fastNanos;
  servers_.push_back(std::move(added));
  resetCandidates();
}

void ServerPicker::remove(const base::ServerId& server)
{
  std::erase_if(servers_, [&server](const Server& known) { return known.id == server; });
  resetCandidates();
}

void ServerPicker::setAvailable(const base::ServerId& server, bool available)
{
  if (Server* const known = find(server)) {
    known->available = available;
    resetCandidates();
  }
}

void ServerPicker::onSent(const base::ServerId& server, WorkId work, base::TimePoint now)
{
  if (Server* const known = find(server)) {
    known->inFlight.push_back({ work, now });
  }
}

void ServerPicker::onFinished(const base::ServerId& server,
                              WorkId work,
                              bool counts,
                              base::TimePoint now)
{
  Server* const known = find(server);
  if (known == nullptr) {
    return;
  }
  const auto sent = std::find_if(known->inFlight.begin(),
                                 known->inFlight.end(),
                                 [work](const Sent& candidate) { return candidate.work == work; });
  if (sent == known->inFlight.end()) {
    return;
  }
  const double latency = nanosOf(now - sent->at);
  known->inFlight.erase(sent);
  if (counts) {
    observe(*known, latency, now);
  }
}

void ServerPicker::onOverloaded(const base::ServerId& server,
                                base::Duration wait,
                                base::TimePoint now)
{
  if (Server* const known = find(server)) {
    known->fastNanos = std::max(expectedLatency(*known, now), nanosOf(wait));
    known->observedAt = now;
  }
}

void ServerPicker::observe(Server& server, double latencyNanos, base::TimePoint now) const
{
  const double expected = expectedLatency(server, now);
  server.fastNanos =
    latencyNanos >= expected ? latencyNanos : expected + (latencyNanos - expected) * kFallWeight;
  server.slowNanos += (latencyNanos - server.slowNanos) * kSlowWeight;
  server.observedAt = now;
}

// Falls from the last observation to the long-term mean with the half-life.
double ServerPicker::expectedLatency(const Server& server, base::TimePoint now) const
{
  if (server.fastNanos <= server.slowNanos) {
    return server.fastNanos;
  }
  const double age = nanosOf(now - server.observedAt) / nanosOf(settings_.halfLife);
  return server.slowNanos + (server.fastNanos - server.slowNanos) * std::exp2(-age);
}

// A request that is unanswered for longer than expected shows a slow server before its answer does.
double ServerPicker::expectedWait(const Server& server, base::TimePoint now) const
{
  double latency = expectedLatency(server, now);
  if (!server.inFlight.empty()) {
    latency = std::max(latency, nanosOf(now - server.inFlight.front().at));
  }
  return latency * static_cast<double>(server.inFlight.size() + 1);
}

std::optional<base::ServerId> ServerPicker::best(base::TimePoint now,
                                                 const base::ServerId* except,
                                                 std::size_t offset) const
{
  const std::size_t count = std::min(settings_.choices, candidates_.size());
  const Server* chosen = nullptr;
  double least = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const Server& server = servers_[candidates_[(i + offset) % count]];
    if (except != nullptr && server.id == *except) {
      continue;
    }
    const double wait = expectedWait(server, now);
    if (chosen == nullptr || wait < least) {
      chosen = &server;
      least = wait;
    }
  }
  return chosen == nullptr ? std::nullopt : std::optional(chosen->id);
}

void ServerPicker::resetCandidates()
{
  candidates_.clear();
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].available) {
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

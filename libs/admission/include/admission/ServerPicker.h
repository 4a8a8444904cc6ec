#pragma once

#include <admission/SlotGate.h>
#include <base/Ids.h>
#include <base/Random.h>
#include <base/Time.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace sycamore::admission {

struct PickerSettings
{
  // Candidates drawn at random for a pick, at least 1; all servers when there are no more than
  // this.
  std::size_t choices = 32;
  // Time after which a slow observation has lost half of its weight, so that a server is tried
  // again.
  base::Duration halfLife = base::milliseconds(200);
  // Expected latency of a server without observations.
  base::Duration initialLatency = base::milliseconds(1);
};

// Chooses a server for a service that is not divided by key, by expected wait: the observed latency
// (rising at once, falling slowly), the age of the oldest unanswered request, and the number in
// flight from this entry VM. Not thread-safe: the owner holds a mutex.
class ServerPicker
{
public:
  explicit ServerPicker(PickerSettings settings = {});

  void add(const base::ServerId& server);
  void remove(const base::ServerId& server);

  // Servers that drain, are out of service or have no grant are not picked.
  void setAvailable(const base::ServerId& server, bool available);

  // The server with the least expected wait among the candidates; nothing if none is available.
  // `except` leaves one out, for a retry or a hedge.
  template<base::RandomSource Random>
  std::optional<base::ServerId> pick(base::TimePoint now,
                                     Random& random,
                                     const base::ServerId* except = nullptr)
  {
    draw(random);
    // Starts at a random candidate, so that equal ones share the load.
    return best(now, except, static_cast<std::size_t>(random() % (servers_.size() + 1)));
  }

  // A request was sent to the server, until onFinished() with the same id.
  void onSent(const base::ServerId& server, WorkId work, base::TimePoint now);

  // It ended. `counts` is false if its latency says nothing, e.g. for a refusal or a cancellation.
  void onFinished(const base::ServerId& server, WorkId work, bool counts, base::TimePoint now);

  // The server's holder refused work as overloaded and named the wait.
  void onOverloaded(const base::ServerId& server, base::Duration wait, base::TimePoint now);

private:
  struct Sent
  {
    WorkId work;
    base::TimePoint at;
  };
  struct Server
  {
    base::ServerId id;
    bool available = true;
    // In the order of sending.
    std::deque<Sent> inFlight;
    double fastNanos = 0;
    double slowNanos = 0;
    base::TimePoint observedAt;
  };

  template<base::RandomSource Random>
  void draw(Random& random)
  {
    const std::size_t wanted = std::min(settings_.choices, candidates_.size());
    if (wanted == candidates_.size()) {
      return;
    }
    for (std::size_t i = 0; i < wanted; ++i) {
      std::uniform_int_distribution<std::size_t> rest(i, candidates_.size() - 1);
      std::swap(candidates_[i], candidates_[rest(random)]);
    }
  }

  std::optional<base::ServerId> best(base::TimePoint now,
                                     const base::ServerId* except,
                                     std::size_t offset) const;
  void observe(Server& server, double latencyNanos, base::TimePoint now) const;
  double expectedLatency(const Server& server, base::TimePoint now) const;
  double expectedWait(const Server& server, base::TimePoint now) const;
  void resetCandidates();
  Server* find(const base::ServerId& server);

  PickerSettings settings_;
  std::vector<Server> servers_;
  // Indexes of the available servers; the first `choices` are the candidates of the present pick.
  std::vector<std::size_t> candidates_;
};

} // namespace sycamore::admission

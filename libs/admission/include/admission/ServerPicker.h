#pragma once

#include <admission/SlotTable.h>
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
  // Number of candidates drawn at random for each pick, at least 1. All servers are candidates if
  // there are no more than this.
  std::size_t maxCandidates = 32;
  // Half-life of a slow observation. The decay lets a server that was slow be tried again.
  base::Duration halfLife = base::milliseconds(200);
  // Expected latency of a server before its first observation.
  base::Duration initialLatency = base::milliseconds(1);
};

// Chooses a server for a service that is not sharded by key, by the least expected wait. The wait
// is estimated from the observed latency (which rises at once and falls slowly), the age of the
// oldest unanswered request, and the number of requests in flight from this entry VM. Not
// thread-safe: the owner holds a mutex.
class ServerPicker
{
public:
  explicit ServerPicker(PickerSettings settings = {});

  void add(const base::ServerId& server);
  void remove(const base::ServerId& server);

  // Sets whether the server may be picked: servers that drain, are out of service or have no grant
  // may not.
  void setAvailable(const base::ServerId& server, bool available);

  // Returns the candidate with the least expected wait; nothing if no server is available.
  // `excluded` is left out, for a retry or a hedge.
  template<base::RandomSource Random>
  std::optional<base::ServerId> pick(base::TimePoint now,
                                     Random& random,
                                     const base::ServerId* excluded = nullptr)
  {
    drawCandidates(random);
    // Starts at a random candidate, so that servers with equal waits share the load.
    return bestCandidate(now, excluded, static_cast<std::size_t>(random() % (servers_.size() + 1)));
  }

  // Counts the request as in flight on the server until onFinished() is called with the same id.
  void onSent(const base::ServerId& server, WorkId work, base::TimePoint now);

  // Removes the request from those in flight. `recordLatency` is false if its duration does not
  // reflect the server's speed, such as that of a refused or cancelled request.
  void onFinished(const base::ServerId& server,
                  WorkId work,
                  bool recordLatency,
                  base::TimePoint now);

  // Raises the expected latency to `wait`, which the server's lease holder suggested when it
  // refused a request as overloaded.
  void onOverloaded(const base::ServerId& server, base::Duration wait, base::TimePoint now);

private:
  struct Sent
  {
    WorkId work;
    base::TimePoint sentAt;
  };
  struct Server
  {
    base::ServerId id;
    bool isAvailable = true;
    // In the order in which the requests were sent.
    std::deque<Sent> inFlight;
    // Latency estimate that rises at once with a slow answer.
    double recentNanos = 0;
    // Long-term mean latency, to which the estimate decays.
    double baselineNanos = 0;
    base::TimePoint updatedAt;
  };

  template<base::RandomSource Random>
  void drawCandidates(Random& random)
  {
    const std::size_t drawn = std::min(settings_.maxCandidates, candidates_.size());
    if (drawn == candidates_.size()) {
      return;
    }
    for (std::size_t i = 0; i < drawn; ++i) {
      std::uniform_int_distribution<std::size_t> rest(i, candidates_.size() - 1);
      std::swap(candidates_[i], candidates_[rest(random)]);
    }
  }

  std::optional<base::ServerId> bestCandidate(base::TimePoint now,
                                              const base::ServerId* excluded,
                                              std::size_t offset) const;
  void updateLatency(Server& server, double latencyNanos, base::TimePoint now) const;
  double expectedLatency(const Server& server, base::TimePoint now) const;
  double expectedWait(const Server& server, base::TimePoint now) const;
  void rebuildCandidates();
  Server* find(const base::ServerId& server);

  PickerSettings settings_;
  std::vector<Server> servers_;
  // Indexes into servers_ of the available servers. The first `maxCandidates` are the candidates of
  // the current pick.
  std::vector<std::size_t> candidates_;
};

} // namespace sycamore::admission

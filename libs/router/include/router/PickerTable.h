#pragma once

#include <admission/ServerPicker.h>
#include <base/Ids.h>
#include <router/RoutingTable.h>

#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>

namespace sycamore::router {

// Chooses servers for requests that any server of a service may run, based on the latencies and
// refusals that this VM has observed. Thread-safe.
class PickerTable
{
public:
  explicit PickerTable(std::uint64_t seed);

  // Returns an available server, other than `excluded` if there is another one.
  std::optional<base::ServerId> pick(const base::ServiceId& service,
                                     const RoutingTable& table,
                                     const std::optional<base::ServerId>& excluded);

  void onSent(const base::ServiceId& service, const base::ServerId& server, std::uint64_t sendId);
  // hasValidLatency: whether the latency is a valid sample for the server.
  void onFinished(const base::ServiceId& service,
                  const base::ServerId& server,
                  std::uint64_t sendId,
                  bool hasValidLatency);

  // The server's lease holder refused a request because no slot was free.
  void onOverloaded(const base::ServiceId& service,
                    const base::ServerId& server,
                    base::Duration wait);

private:
  struct State
  {
    admission::ServerPicker picker;
    std::set<base::ServerId> known;
  };

  void update(State& state, const std::vector<const ServerRoute*>& usable);

  std::mutex mutex_;
  std::mt19937_64 random_;
  std::map<base::ServiceId, State> states_;
};

} // namespace sycamore::router

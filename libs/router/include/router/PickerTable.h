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

// Chooses servers for requests that any server of a service may run, by this VM's own observations.
// Safe from all threads.
class PickerTable
{
public:
  explicit PickerTable(std::uint64_t seed);

  // A server among those available, other than `except` when there is another one.
  std::optional<base::ServerId> pick(const base::ServiceId& service,
                                     const RoutingTable& table,
                                     const std::optional<base::ServerId>& except);

  void noteSent(const base::ServiceId& service, const base::ServerId& server, std::uint64_t send);
  // counts: whether the latency says something about the server.
  void noteFinished(const base::ServiceId& service,
                    const base::ServerId& server,
                    std::uint64_t send,
                    bool counts);

  // The server's holder refused a request for want of a slot.
  void noteOverloaded(const base::ServiceId& service,
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

#include <router/PickerTable.h>

namespace sycamore::router {

using base::SteadyClock;

PickerTable::PickerTable(std::uint64_t seed)
  : random_(seed)
{
}

void PickerTable::update(State& state, const std::vector<const ServerRoute*>& usable)
{
  std::set<base::ServerId> now;
  for (const ServerRoute* server : usable) {
    now.insert(server->id);
    if (state.known.insert(server->id).second) {
      state.picker.add(server->id);
    }
  }
  for (const auto& server : state.known) {
    state.picker.setAvailable(server, now.contains(server));
  }
}

std::optional<base::ServerId> PickerTable::pick(const base::ServiceId& service,
                                                const RoutingTable& table,
                                                const std::optional<base::ServerId>& except)
{
  const auto usable = table.candidates(service);
  std::lock_guard lock(mutex_);
  State& state = states_[service];
  update(state, usable);
  const bool leaveOut = except && usable.size() > 1;
  return state.picker.pick(SteadyClock().now(), random_, leaveOut ? &*except : nullptr);
}

void PickerTable::noteSent(const base::ServiceId& service,
                           const base::ServerId& server,
                           std::uint64_t send)
{
  std::lock_guard lock(mutex_);
  states_[service].picker.onSent(server, admission::WorkId(send), SteadyClock().now());
}

void PickerTable::noteFinished(const base::ServiceId& service,
                               const base::ServerId& server,
                               std::uint64_t send,
                               bool counts)
{
  std::lock_guard lock(mutex_);
  states_[service].picker.onFinished(server, admission::WorkId(send), counts, SteadyClock().now());
}

void PickerTable::noteOverloaded(const base::ServiceId& service,
                                 const base::ServerId& server,
                                 base::Duration wait)
{
  std::lock_guard lock(mutex_);
  states_[service].picker.onOverloaded(server, wait, SteadyClock().now());
}

} // namespace sycamore::router

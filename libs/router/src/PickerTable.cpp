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
                                                const std::optional<base::ServerId>& excluded)
{
  const auto usable = table.candidates(service);
  std::lock_guard lock(mutex_);
  State& state = states_[service];
  update(state, usable);
  const bool mustExclude = excluded && usable.size() > 1;
  return state.picker.pick(SteadyClock().now(), random_, mustExclude ? &*excluded : nullptr);
}

void PickerTable::onSent(const base::ServiceId& service,
                         const base::ServerId& server,
                         std::uint64_t sendId)
{
  std::lock_guard lock(mutex_);
  states_[service].picker.onSent(server, admission::WorkId(sendId), SteadyClock().now());
}

void PickerTable::onFinished(const base::ServiceId& service,
                             const base::ServerId& server,
                             std::uint64_t sendId,
                             bool hasValidLatency)
{
  std::lock_guard lock(mutex_);
  states_[service].picker.onFinished(
    server, admission::WorkId(sendId), hasValidLatency, SteadyClock().now());
}

void PickerTable::onOverloaded(const base::ServiceId& service,
                               const base::ServerId& server,
                               base::Duration wait)
{
  std::lock_guard lock(mutex_);
  states_[service].picker.onOverloaded(server, wait, SteadyClock().now());
}

} // namespace sycamore::router

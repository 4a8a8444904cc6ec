#pragma once

#include <configuration/ChangeCoordinator.h>

#include <concepts>
#include <optional>
#include <utility>
#include <variant>

namespace sycamore::configuration {

// The platform and clock that runChange() uses. Each call returns by the deadline, with NoAnswer if
// the platform has not answered by then.
template<typename T>
concept ChangePlatform =
  requires(T& platform, const WriteStep& write, const ReadStep& read, base::TimePoint deadline)
{
  {
    platform.write(write, deadline)
    } -> std::same_as<WriteResult>;
  {
    platform.read(read, deadline)
    } -> std::same_as<ReadResult>;
  platform.waitUntil(deadline);
  {
    platform.now()
    } -> std::same_as<base::TimePoint>;
};

// Runs a change to its outcome on the calling thread. `known` is the object as the local store has
// it.
template<ChangePlatform Platform>
ChangeOutcome runChange(ConfigChange change, std::optional<ConfigObject> known, Platform& platform)
{
  const base::TimePoint deadline = change.deadline;
  ChangeCoordinator coordinator(std::move(change), std::move(known));
  ChangeStep step = coordinator.start(platform.now());
  while (!std::holds_alternative<ChangeOutcome>(step)) {
    if (const auto* write = std::get_if<WriteStep>(&step)) {
      platform.waitUntil(write->notBefore);
      const WriteResult result = platform.write(*write, deadline);
      step = coordinator.onWritten(result, platform.now());
    } else {
      const ReadStep read = std::get<ReadStep>(step);
      platform.waitUntil(read.notBefore);
      const ReadResult result = platform.read(read, deadline);
      step = coordinator.onRead(result, platform.now());
    }
  }
  return std::get<ChangeOutcome>(std::move(step));
}

} // namespace sycamore::configuration

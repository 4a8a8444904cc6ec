#pragma once

#include <base/Time.h>

#include <functional>
#include <future>
#include <memory>
#include <optional>

namespace sycamore::control {

// The thread that owns all control state: one detached CAF actor that runs tasks one after another
// and a tick at a fixed interval. Tasks must not block. post() and ask() are thread-safe.
class ControlThread
{
public:
  ControlThread();
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  // Calls onTick on the control thread at this interval. Call it at most once.
  void startTicking(base::Duration interval, std::function<void()> onTick);

  // Queues a task to run on the control thread.
  void post(std::function<void()> task);

  // Runs a function on the control thread and waits for its result; returns nothing if the deadline
  // passes first. Must not be called on the control thread itself. Rethrows what the function
  // throws.
  template<typename Function>
  auto ask(Function function, base::TimePoint deadline) -> std::optional<decltype(function())>
  {
    using Result = decltype(function());
    auto promise = std::make_shared<std::promise<Result>>();
    auto future = promise->get_future();
    post([promise, function = std::move(function)]() mutable {
      try {
        promise->set_value(function());
      } catch (...) {
        promise->set_exception(std::current_exception());
      }
    });
    if (future.wait_for(deadline - base::SteadyClock().now()) != std::future_status::ready) {
      return std::nullopt;
    }
    return future.get();
  }

  // Ends the thread. Queued tasks are dropped.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace sycamore::control

#pragma once

#include <base/Time.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace sycamore::daemon {

// Calls a function at an interval on a thread of its own, so that telemetry takes no time from the
// control thread or the traffic threads.
class PeriodicTask
{
public:
  PeriodicTask(base::Duration interval, std::function<void()> onTick);
  // Waits for a call in progress.
  ~PeriodicTask();
  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

private:
  void run();

  const base::Duration interval_;
  const std::function<void()> onTick_;
  std::mutex mutex_;
  std::condition_variable wakeUp_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace sycamore::daemon

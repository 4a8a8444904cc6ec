#pragma once

#include <base/Time.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace sycamore::daemon {

// Calls a function on a thread of its own at an interval, so that telemetry takes no time of the
// control thread or of traffic threads.
class TelemetryTicker
{
public:
  TelemetryTicker(base::Duration interval, std::function<void()> onTick);
  // Waits for a call in progress.
  ~TelemetryTicker();
  TelemetryTicker(const TelemetryTicker&) = delete;
  TelemetryTicker& operator=(const TelemetryTicker&) = delete;

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

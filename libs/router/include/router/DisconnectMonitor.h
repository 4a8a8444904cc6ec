#pragma once

#include <transport/HttpClientPool.h>

#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace sycamore::router {

// Cancels exchanges whose sender has disconnected, so that servers stop working on requests whose
// answer nobody receives. One thread checks all running exchanges every 50 ms. Thread-safe.
class DisconnectMonitor
{
public:
  DisconnectMonitor();
  ~DisconnectMonitor();
  DisconnectMonitor(const DisconnectMonitor&) = delete;
  DisconnectMonitor& operator=(const DisconnectMonitor&) = delete;

  // Monitors one exchange for the lifetime of this object.
  class Watch
  {
  public:
    Watch(DisconnectMonitor& monitor,
          std::function<bool()> isSenderDisconnected,
          transport::CancelHandle& cancel);
    ~Watch();
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;

  private:
    DisconnectMonitor& monitor_;
    std::list<std::pair<std::function<bool()>, transport::CancelHandle*>>::iterator entry_;
  };

private:
  void run();

  std::mutex mutex_;
  std::condition_variable wakeUp_;
  bool stopping_ = false;
  std::list<std::pair<std::function<bool()>, transport::CancelHandle*>> watchedExchanges_;
  std::thread thread_;
};

} // namespace sycamore::router

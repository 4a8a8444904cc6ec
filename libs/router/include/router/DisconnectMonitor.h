#pragma once

#include <transport/HttpClientPool.h>

#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace sycamore::router {

// Cancels exchanges whose caller has left, so that servers don't work for nobody. One thread looks
// at all running exchanges every 50 ms. Safe from all threads.
class DisconnectMonitor
{
public:
  DisconnectMonitor();
  ~DisconnectMonitor();
  DisconnectMonitor(const DisconnectMonitor&) = delete;
  DisconnectMonitor& operator=(const DisconnectMonitor&) = delete;

  // Watches one exchange as long as it lives.
  class Watch
  {
  public:
    Watch(DisconnectMonitor& monitor,
          std::function<bool()> isSenderGone,
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
  std::list<std::pair<std::function<bool()>, transport::CancelHandle*>> watched_;
  std::thread thread_;
};

} // namespace sycamore::router

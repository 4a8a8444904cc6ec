#pragma once

#include <control/ControlThread.h>
#include <transport/HttpClientPool.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sycamore::control {

// Thread pool that sends the control thread's HTTP requests and posts the responses back to the
// control thread. Thread-safe.
class ControlIo
{
public:
  using Done = std::function<void(const transport::BufferedResponse& response)>;

  ControlIo(transport::HttpClientPool& clients, ControlThread& control, std::size_t maxThreads);
  ~ControlIo();
  ControlIo(const ControlIo&) = delete;
  ControlIo& operator=(const ControlIo&) = delete;

  // Sends a POST request with a JSON body. `done` runs on the control thread, also after a failure.
  // A request that is still queued at its deadline is not sent.
  void post(const std::string& address,
            const std::string& path,
            std::string body,
            base::TimePoint deadline,
            Done done,
            transport::ConnectionUse use = transport::ConnectionUse::Any);
  void send(std::string address,
            transport::ClientRequest request,
            base::TimePoint deadline,
            Done done);

  // Drops the queued requests and waits for the threads to end.
  void stop();

private:
  struct Job
  {
    std::string address;
    transport::ClientRequest request;
    base::TimePoint deadline;
    Done done;
  };

  void run();

  transport::HttpClientPool& clients_;
  ControlThread& control_;
  const std::size_t maxThreads_;
  std::mutex mutex_;
  std::condition_variable wakeUp_;
  std::deque<Job> jobs_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

} // namespace sycamore::control

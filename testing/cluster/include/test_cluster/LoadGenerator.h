#pragma once

#include <test_cluster/Balancer.h>
#include <test_cluster/Caller.h>

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace sycamore::test_cluster {

// Caller threads that send one request after another through any ready entry VM until stopped.
// Requests that were not served are sent again under the same request id with a higher attempt.
class LoadGenerator
{
public:
  struct Options
  {
    unsigned threads = 8;
    unsigned keys = 48;
    // Maximum number of sends per request, including the first.
    unsigned attempts = 4;
    base::Duration deadline = std::chrono::milliseconds(1000);
    // Pause of a thread after each request; limits the load.
    base::milliseconds pause{ 5 };
    // Whether requests also go to the service "label", which has no keys.
    bool sendUnkeyed = true;
    std::uint64_t seed = 1;
  };

  // Starts the load. The balancer must outlive it.
  LoadGenerator(const Balancer& balancer, Options options);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Stops the load and returns a record of each send, those of one thread in order.
  std::vector<CallRecord> stop();

  // Returns the number of requests so far whose last answer was "ran".
  std::uint64_t served() const { return served_; }
  // Returns the number of requests so far that no attempt served.
  std::uint64_t failed() const { return failed_; }

  static std::string keyName(unsigned index) { return "store-" + std::to_string(index); }

private:
  void run(unsigned index);
  Call nextCall(std::mt19937_64& random) const;
  bool sendUntilServed(Call call, std::mt19937_64& random, std::vector<CallRecord>& records);

  const Balancer& balancer_;
  const Options options_;
  Caller caller_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::uint64_t> served_ = 0;
  std::atomic<std::uint64_t> failed_ = 0;
  std::mutex mutex_;
  std::vector<CallRecord> records_;
  std::vector<std::thread> threads_;
};

} // namespace sycamore::test_cluster

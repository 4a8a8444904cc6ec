#pragma once

#include <test_cluster/Balancer.h>
#include <test_cluster/Caller.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sycamore::test_cluster {

// Sends requests for a few keys continuously, with one thread per key, to measure when each key is
// served.
class KeyProbe
{
public:
  // Starts the threads. The balancer must outlive the probe.
  KeyProbe(const Balancer& balancer, const std::vector<std::string>& keys);
  ~KeyProbe();
  KeyProbe(const KeyProbe&) = delete;
  KeyProbe& operator=(const KeyProbe&) = delete;

  static std::int64_t nowNs();

  // Returns for each key the milliseconds from sinceNs until its first answer "ran" to a request
  // sent after sinceNs, not counting answers of lostServer. Waits until every key has such an
  // answer; a key without one at the timeout counts as the timeout.
  std::vector<double> recoveryMs(std::int64_t sinceNs,
                                 const std::string& lostServer,
                                 base::Duration timeout) const;

  // Stops the threads and returns a record of each request.
  std::vector<CallRecord> stop();

private:
  void run(std::size_t index, const std::string& key);

  const Balancer& balancer_;
  Caller caller_;
  std::atomic<bool> stopping_ = false;
  mutable std::mutex mutex_;
  std::vector<std::vector<CallRecord>> records_;
  std::vector<std::thread> threads_;
};

} // namespace sycamore::test_cluster

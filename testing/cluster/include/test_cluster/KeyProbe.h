#pragma once

#include <test_cluster/Balancer.h>
#include <test_cluster/Caller.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sycamore::test_cluster {

// Asks for each of a few keys again and again, one thread each, to measure when a key is served.
class KeyProbe
{
public:
  // Starts the probe. The balancer must outlive it.
  KeyProbe(const Balancer& balancer, const std::vector<std::string>& keys);
  ~KeyProbe();
  KeyProbe(const KeyProbe&) = delete;
  KeyProbe& operator=(const KeyProbe&) = delete;

  static std::int64_t nowNs();

  // Milliseconds from the time until each key's first answer "ran" to a request sent after it that
  // came from another server than the given one. Waits until there is one for each key; keys
  // without one at the timeout count with the timeout.
  std::vector<double> recoveryMs(std::int64_t sinceNs,
                                 const std::string& lostServer,
                                 base::Duration timeout) const;

  // Ends the probe and returns all that was sent.
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

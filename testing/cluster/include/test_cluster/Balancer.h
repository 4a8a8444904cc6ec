#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sycamore::test_cluster {

// Simulates the platform's load balancer: queries /readyz of each entry VM every 50 ms and lists
// the VMs that accept callers. Thread-safe.
class Balancer
{
public:
  Balancer();
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Adds an entry VM or changes its caller address.
  void setAddress(const std::string& vm, const std::string& callerAddress);
  void remove(const std::string& vm);

  // Returns the caller addresses of the entry VMs that were ready at their last probe.
  std::vector<std::string> ready() const;

private:
  void run();

  mutable std::mutex mutex_;
  std::map<std::string, std::string> addresses_;
  std::vector<std::string> ready_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

} // namespace sycamore::test_cluster

#pragma once

#include <Deployment.h>

#include <random>

namespace sycamore::soak {

// Callers of the entry VMs. Each keeps its connection for many requests; half of the requests are
// for one busy key, which changes every few seconds.
class KeyedLoad
{
public:
  KeyedLoad(review::Deployment& deployment, std::uint64_t seed, int callers);
  ~KeyedLoad();

  int served() const { return served_; }
  int failed() const { return failed_; }

private:
  void run(std::uint64_t seed, int caller);

  review::Deployment& deployment_;
  std::atomic<bool> stopped_{ false };
  std::atomic<int> served_{ 0 };
  std::atomic<int> failed_{ 0 };
  std::atomic<int> hotKey_{ 0 };
  std::vector<std::thread> threads_;
};

} // namespace sycamore::soak

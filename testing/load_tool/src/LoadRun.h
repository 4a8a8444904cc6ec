#pragma once

#include <base/Time.h>
#include <transport/HttpClientPool.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sycamore::load_tool {

// Parameters of the load. Each thread sends one request after another.
struct LoadOptions
{
  std::vector<std::string> targets;
  std::string service;
  std::string method;
  std::size_t threads = 8;
  std::size_t keys = 200;
  // Exponent of the Zipf distribution of keys; 0 is a uniform distribution.
  double zipf = 0;
  base::Duration duration{};
  base::Duration pause{};
  base::Duration deadline{};
  std::size_t bodyBytes = 64;
  std::uint64_t seed = 1;
};

// One finished request.
struct LoadSample
{
  base::TimePoint startedAt;
  base::TimePoint endedAt;
  std::uint32_t key = 0;
  // "ran", "not-run", "unknown", or "broken" if no complete answer arrived.
  std::string outcome;
  std::string reason;
  std::string server;
};

// Sends requests to entry VMs in round-robin order, as callers of several stores would.
class LoadRun
{
public:
  explicit LoadRun(LoadOptions options);

  // Sends requests for the duration of the options; blocks until all threads are done.
  std::vector<LoadSample> run();

private:
  std::vector<LoadSample> runThread(std::size_t index);
  LoadSample sendOne(std::uint32_t key, const std::string& target, std::uint64_t random);

  const LoadOptions options_;
  base::TimePoint end_;
  transport::FaultSwitch faults_;
  transport::HttpClientPool clients_;
};

} // namespace sycamore::load_tool

#pragma once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace sycamore::platform_stub {

// Counts calls by group and name, for /stats. Thread-safe.
class CallCounts
{
public:
  void add(const std::string& group, const std::string& name)
  {
    const std::lock_guard lock(mutex_);
    ++counts_[group][name];
  }

  nlohmann::json snapshot() const
  {
    const std::lock_guard lock(mutex_);
    return counts_;
  }

private:
  mutable std::mutex mutex_;
  std::map<std::string, std::map<std::string, std::uint64_t>> counts_;
};

} // namespace sycamore::platform_stub

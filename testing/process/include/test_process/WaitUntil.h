#pragma once

#include <base/Time.h>

#include <chrono>
#include <concepts>
#include <thread>

namespace sycamore::test_process {

// Polls the condition every few milliseconds until it holds or the timeout passes; returns whether
// it holds. For conditions in other processes, which cannot notify this one.
template<std::predicate Condition>
bool waitUntil(Condition condition, base::Duration timeout)
{
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

} // namespace sycamore::test_process

#pragma once

#include <base/Time.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sycamore::entry {

// Writes decisions and state changes to standard output, as one JSON object per line. The number of
// lines per event name and second is bounded; omitted lines are counted, and the next line of the
// event carries the count. If the pipe is full, lines are dropped instead of blocking. Thread-safe.
class EventLog
{
public:
  explicit EventLog(std::string vm);

  // Logs an event. `fields` is a JSON object with its details and causes.
  void write(const std::string& event, nlohmann::json fields = nlohmann::json::object());

  // Logs the last event of a process that is about to end. Takes no lock, which the failed thread
  // may hold, and ignores the bound on lines.
  void writeLast(const std::string& event, nlohmann::json fields) const;

  std::uint64_t dropped() const;

private:
  struct EventCounts
  {
    std::int64_t second = 0;
    unsigned written = 0;
    std::uint64_t dropped = 0;
  };

  // Returns whether the line was written.
  bool writeLine(const std::string& event,
                 nlohmann::json fields,
                 std::chrono::milliseconds steadyTime) const;

  std::string vm_;
  mutable std::mutex mutex_;
  std::map<std::string, EventCounts> countsByEvent_;
  std::uint64_t dropped_ = 0;
};

} // namespace sycamore::entry

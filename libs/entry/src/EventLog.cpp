#include <entry/EventLog.h>

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace sycamore::entry {

namespace {

// Maximum number of lines per event name and second.
constexpr unsigned kMaxLinesPerSecond = 10;

std::chrono::milliseconds steadyTimeNow()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace

EventLog::EventLog(std::string vm)
  : vm_(std::move(vm))
{
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void EventLog::write(const std::string& event, nlohmann::json fields)
{
  const std::chrono::milliseconds steadyTime = steadyTimeNow();
  const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(steadyTime).count();
  const std::lock_guard lock(mutex_);
  EventCounts& counts = countsByEvent_[event];
  if (counts.second != second) {
    counts.second = second;
    counts.written = 0;
  }
  if (counts.written >= kMaxLinesPerSecond) {
    ++counts.dropped;
    ++dropped_;
    return;
  }
  ++counts.written;
  if (counts.dropped > 0) {
    fields["dropped"] = counts.dropped;
    counts.dropped = 0;
  }
  if (!writeLine(event, std::move(fields), steadyTime)) {
    ++dropped_;
  }
}

void EventLog::writeLast(const std::string& event, nlohmann::json fields) const
{
  writeLine(event, std::move(fields), steadyTimeNow());
}

bool EventLog::writeLine(const std::string& event,
                         nlohmann::json fields,
                         std::chrono::milliseconds steadyTime) const
{
  fields["event"] = event;
  fields["vm"] = vm_;
  fields["steady_ms"] = steadyTime.count();
  const std::string line =
    fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return ::write(STDOUT_FILENO, line.data(), line.size()) >= 0;
}

std::uint64_t EventLog::dropped() const
{
  const std::lock_guard lock(mutex_);
  return dropped_;
}

} // namespace sycamore::entry

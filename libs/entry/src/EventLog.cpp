#include <entry/EventLog.h>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

namespace sycamore::entry {

namespace {

// Maximum number of lines per event name and second.
constexpr unsigned kMaxLinesPerSecond = 10;

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
  using std::chrono::duration_cast;
  const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
  const std::int64_t second = duration_cast<std::chrono::seconds>(sinceEpoch).count();
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
  fields["event"] = event;
  fields["vm"] = vm_;
  fields["steady_ms"] = duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
  if (counts.dropped > 0) {
    fields["dropped"] = counts.dropped;
    counts.dropped = 0;
  }
  const std::string line =
    fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  if (::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
    ++dropped_;
  }
}

std::uint64_t EventLog::dropped() const
{
  const std::lock_guard lock(mutex_);
  return dropped_;
}

} // namespace sycamore::entry

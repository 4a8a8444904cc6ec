#include <entry/PendingReport.h>

#include <cstddef>
#include <utility>

namespace sycamore::entry {

namespace {

constexpr base::Duration kReportInterval = base::milliseconds(500);
// Minimum interval between two reports while keys are hot.
constexpr base::Duration kHotReportInterval = base::milliseconds(100);
// Maximum number of broken connections reported in one message.
constexpr std::size_t kMaxConnectionBreaks = 32;

} // namespace

void PendingReport::addKeys(const dispatch::KeyReports& keys)
{
  for (const auto& [service, report] : keys) {
    keys_[service].merge(report);
  }
}

void PendingReport::addWork(const std::map<base::ServerId, dispatch::WorkSample>& work)
{
  for (const auto& [server, sample] : work) {
    work_[server].count += sample.count;
    work_[server].total += sample.total;
  }
}

void PendingReport::addConnectionBreak(const ConnectionBreak& connectionBreak)
{
  if (connectionBreaks_.size() < kMaxConnectionBreaks) {
    connectionBreaks_.push_back(connectionBreak);
  }
}

bool PendingReport::isDue(base::TimePoint now) const
{
  return now >= nextReportAt_ || (now >= nextHotReportAt_ && dispatch::hasHotSpan(keys_));
}

void PendingReport::scheduleNext(base::TimePoint now)
{
  nextReportAt_ = now + kReportInterval;
  nextHotReportAt_ = now + kHotReportInterval;
}

void PendingReport::moveTo(ReportMessage& message)
{
  message.keys = std::exchange(keys_, {});
  message.work = std::exchange(work_, {});
  message.connectionBreaks = takeConnectionBreaks();
}

std::vector<ConnectionBreak> PendingReport::takeConnectionBreaks()
{
  return std::exchange(connectionBreaks_, {});
}

} // namespace sycamore::entry

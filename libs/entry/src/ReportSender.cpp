#include <entry/ReportSender.h>

#include <entry/SteadyTime.h>

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

ReportSender::ReportSender(PeerLink& peerLink,
                           const dispatch::EntrySettings& settings,
                           std::uint64_t run)
  : peerLink_(peerLink)
  , vm_(settings.vm)
  , domain_(settings.domain)
  , capacity_(settings.capacity)
  , run_(run)
{
}

void ReportSender::addKeys(const dispatch::KeyReports& keys)
{
  for (const auto& [service, report] : keys) {
    keys_[service].merge(report);
  }
}

void ReportSender::addWork(const std::map<base::ServerId, dispatch::WorkSample>& work)
{
  for (const auto& [server, sample] : work) {
    work_[server].count += sample.count;
    work_[server].total += sample.total;
  }
}

void ReportSender::addConnectionBreak(const ConnectionBreak& connectionBreak)
{
  if (connectionBreaks_.size() < kMaxConnectionBreaks) {
    connectionBreaks_.push_back(connectionBreak);
  }
}

std::vector<ConnectionBreak> ReportSender::takeConnectionBreaks()
{
  return std::exchange(connectionBreaks_, {});
}

bool ReportSender::isDue(base::TimePoint now) const
{
  return now >= nextReportAt_ || (now >= nextHotReportAt_ && dispatch::hasHotSpan(keys_));
}

void ReportSender::scheduleNext(base::TimePoint now)
{
  nextReportAt_ = now + kReportInterval;
  nextHotReportAt_ = now + kHotReportInterval;
}

void ReportSender::send(const PeerAddress& coordinator,
                        const std::vector<dispatch::ServerIncarnation>& leavingServers,
                        bool needsEcho)
{
  ReportMessage message;
  message.vm = vm_;
  message.domain = domain_;
  message.run = run_;
  message.capacity = capacity_;
  message.keys = std::exchange(keys_, {});
  message.work = std::exchange(work_, {});
  message.connectionBreaks = takeConnectionBreaks();
  message.leaving = isLeaving_;
  message.leavingServers = leavingServers;
  if (needsEcho) {
    message.sentAt = sentReports_.onSend(clockNow());
  }
  peerLink_.send(coordinator, message);
}

} // namespace sycamore::entry

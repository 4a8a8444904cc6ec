#include <dispatch/LoadAggregator.h>

#include <algorithm>
#include <cmath>

namespace sycamore::dispatch {

namespace {

// Time after which a VM's report no longer counts: several reports have been lost, or the VM has
// stopped.
constexpr base::Duration kReportTimeout = base::milliseconds(1000);
// Weight below which the samples of a server no longer count: about ten seconds after a single one.
constexpr double kMinSamples = 0.1;

} // namespace

void LoadAggregator::onReport(const std::string& address,
                              const std::map<base::ServerId, ServerUse>& use,
                              base::TimePoint now)
{
  Report& report = reports_[address];
  report.receivedAt = now;
  report.inFlight.clear();
  for (const auto& [server, serverUse] : use) {
    if (serverUse.inFlight > 0) {
      report.inFlight[server] = serverUse.inFlight;
    }
    if (serverUse.work.count > 0) {
      work_[server].add(serverUse.work, now);
    }
  }
}

LoadSummary LoadAggregator::summary(base::TimePoint now)
{
  std::erase_if(
    reports_, [now](const auto& entry) { return now >= entry.second.receivedAt + kReportTimeout; });
  std::erase_if(work_, [now](const auto& entry) { return entry.second.count(now) < kMinSamples; });
  LoadSummary summary;
  summary.vms = reports_.size();
  for (const auto& [server, mean] : work_) {
    summary.servers[server].work = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(mean.measuredSeconds()));
  }
  for (const auto& [address, report] : reports_) {
    for (const auto& [server, inFlight] : report.inFlight) {
      summary.servers[server].inFlight += inFlight;
    }
  }
  return summary;
}

std::vector<std::string> LoadAggregator::reporters() const
{
  std::vector<std::string> addresses;
  for (const auto& [address, report] : reports_) {
    addresses.push_back(address);
  }
  return addresses;
}

double estimateOthersInFlight(unsigned inFlight, unsigned own, double share)
{
  const double others = inFlight > own ? inFlight - own : 0;
  const double certain = std::max(0.0, inFlight - std::sqrt(static_cast<double>(inFlight)));
  return others + certain * (1 / std::clamp(share, 0.01, 1.0) - 1);
}

} // namespace sycamore::dispatch

#include "TelemetryCollector.h"

#include <base/Error.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace sycamore::daemon {

namespace {

// Enough for all VMs of a team at once; more VMs are asked one after another per thread.
constexpr std::size_t kThreads = 16;
// A form of a service with 20 servers has 20 KB.
constexpr std::size_t kMaxForm = std::size_t(16) << 20;

std::optional<telemetry::VmSnapshot> fetchForm(transport::HttpClientPool& clients,
                                               const base::VmId& vm,
                                               const std::string& address,
                                               base::TimePoint deadline)
{
  transport::ClientRequest request;
  request.path = "/peer/telemetry";
  request.body = "{}";
  try {
    const auto response = clients.fetch(address, request, deadline, kMaxForm);
    if (!response.ok()) {
      return std::nullopt;
    }
    auto form = telemetry::VmSnapshot::parse(response.body);
    // Another VM may have taken the address over.
    return form.vm == vm ? std::optional(std::move(form)) : std::nullopt;
  } catch (const base::Error&) {
    // An address that is not known yet, or a malformed form.
    return std::nullopt;
  }
}

} // namespace

TelemetryCollector::TelemetryCollector(base::VmId self,
                                       const telemetry::ServiceLevelRegistry& book,
                                       const TelemetryPeers& peers,
                                       transport::HttpClientPool& clients)
  : self_(std::move(self))
  , book_(book)
  , peers_(peers)
  , clients_(clients)
{
}

telemetry::BurnReport TelemetryCollector::collect(base::TimePoint deadline) const
{
  telemetry::BurnReport report;
  report.add(book_.snapshot(self_, base::SteadyClock().now()));
  const TelemetryPeers::Addresses addresses = peers_.get();
  const std::vector<TelemetryPeers::Addresses::value_type> peers(addresses.begin(),
                                                                 addresses.end());
  std::atomic<std::size_t> next{ 0 };
  std::mutex mutex;
  const auto work = [&] {
    for (std::size_t i = next++; i < peers.size(); i = next++) {
      const auto form = fetchForm(clients_, peers[i].first, peers[i].second, deadline);
      const std::lock_guard lock(mutex);
      if (form) {
        report.add(*form);
      } else {
        report.addMissingVm(peers[i].first);
      }
    }
  };
  std::vector<std::jthread> threads;
  for (std::size_t i = 0; i < std::min(kThreads, peers.size()); ++i) {
    threads.emplace_back(work);
  }
  threads.clear();
  return report;
}

} // namespace sycamore::daemon

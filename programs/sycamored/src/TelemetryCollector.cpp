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

// Enough to fetch from all VMs of a team's deployment at once. With more VMs, each thread fetches
// from several in turn.
constexpr std::size_t kMaxFetchThreads = 16;
// The snapshot of a service with 20 servers takes 20 KB.
constexpr std::size_t kMaxSnapshotBytes = std::size_t(16) << 20;

std::optional<telemetry::VmSnapshot> fetchSnapshot(transport::HttpClientPool& clients,
                                                   const base::VmId& vm,
                                                   const std::string& address,
                                                   base::TimePoint deadline)
{
  transport::ClientRequest request;
  request.path = "/peer/telemetry";
  request.body = "{}";
  try {
    const auto response = clients.fetch(address, request, deadline, kMaxSnapshotBytes);
    if (!response.ok()) {
      return std::nullopt;
    }
    auto snapshot = telemetry::VmSnapshot::parse(response.body);
    // The address may belong to another VM by now.
    return snapshot.vm == vm ? std::optional(std::move(snapshot)) : std::nullopt;
  } catch (const base::Error&) {
    // The address is not known yet, or the snapshot is malformed.
    return std::nullopt;
  }
}

} // namespace

TelemetryCollector::TelemetryCollector(base::VmId self,
                                       const telemetry::ServiceLevelRegistry& serviceLevels,
                                       const PeerAddressTable& peerAddresses,
                                       transport::HttpClientPool& clients)
  : self_(std::move(self))
  , serviceLevels_(serviceLevels)
  , peerAddresses_(peerAddresses)
  , clients_(clients)
{
}

telemetry::BurnReport TelemetryCollector::collect(base::TimePoint deadline) const
{
  telemetry::BurnReport report;
  report.add(serviceLevels_.snapshot(self_, base::SteadyClock().now()));
  const PeerAddressTable::Addresses addresses = peerAddresses_.get();
  const std::vector<PeerAddressTable::Addresses::value_type> peers(addresses.begin(),
                                                                   addresses.end());
  std::atomic<std::size_t> next{ 0 };
  std::mutex mutex;
  const auto fetchFromPeers = [&] {
    for (std::size_t i = next++; i < peers.size(); i = next++) {
      const auto snapshot = fetchSnapshot(clients_, peers[i].first, peers[i].second, deadline);
      const std::lock_guard lock(mutex);
      if (snapshot) {
        report.add(*snapshot);
      } else {
        report.addMissingVm(peers[i].first);
      }
    }
  };
  std::vector<std::jthread> threads;
  for (std::size_t i = 0; i < std::min(kMaxFetchThreads, peers.size()); ++i) {
    threads.emplace_back(fetchFromPeers);
  }
  threads.clear();
  return report;
}

} // namespace sycamore::daemon

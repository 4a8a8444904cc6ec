#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <configuration/ConfigDigest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sycamore::configuration {

// What ConfigPropagation wants done.
struct PropagationActions
{
  // Ask these peers for what they have newer (`/peer/config`); report with onFetchResult.
  std::vector<base::VmId> fetchFrom;
  // Send these peers a heartbeat at once instead of at its time.
  std::vector<base::VmId> notify;
};

// Timing of ConfigPropagation.
struct PropagationTiming
{
  // A fetch without an answer is given up and another one may start.
  base::milliseconds fetchTimeout{ 300 };
  // Pause after a fetch from a peer whose digest stays unequal, as when that peer is behind.
  // Doubles up to the maximum while neither side changes, or such a pair would fetch without end.
  base::milliseconds fetchInterval{ 200 };
  base::milliseconds maxFetchInterval{ 2000 };
};

// Decides which peers to fetch configuration from and which to tell of a change. Each VM tells a
// bounded number of peers of each adoption at once; heartbeats between all pairs repair what is
// lost. Belongs to the control thread.
class ConfigPropagation
{
public:
  // Fetches in flight at once.
  static constexpr std::size_t kMaxFetches = 3;
  // Peers told at once of an adoption. With 12 VMs all others are told; more VMs are reached in
  // rounds, since each VM that adopts tells others.
  static constexpr std::size_t kMaxNotified = 16;

  explicit ConfigPropagation(base::VmId self, PropagationTiming timing = {});

  // The live entry VMs but this one, whenever that changes.
  void setPeers(const std::set<base::VmId>& peers);

  // A heartbeat, or an answer to one, arrived from a peer.
  PropagationActions onHeartbeat(const base::VmId& peer,
                                 const ConfigDigest& theirs,
                                 const ConfigDigest& ours,
                                 base::TimePoint now);

  // This VM adopted something: from its own change, the platform or a peer.
  PropagationActions onAdopted(const ConfigDigest& ours, base::TimePoint now);

  // A fetch was answered (with or without objects) or failed.
  PropagationActions onFetchResult(const base::VmId& peer,
                                   bool answered,
                                   const ConfigDigest& ours,
                                   base::TimePoint now);

  // To be called about every 100 ms.
  PropagationActions onTick(const ConfigDigest& ours, base::TimePoint now);

private:
  struct Peer
  {
    std::optional<ConfigDigest> digest;
    base::TimePoint heard{};
    std::optional<base::TimePoint> fetchDeadline;
    // Our digest when the fetch began: if it changed since, the fetch may have brought a part.
    ConfigDigest oursAtFetch;
    base::TimePoint nextFetch{};
    base::Duration pause{};
  };

  std::vector<base::VmId> chooseFetches(const ConfigDigest& ours, base::TimePoint now);
  bool mayFetchFrom(const Peer& peer, const ConfigDigest& ours, base::TimePoint now) const;
  std::size_t expireFetches(base::TimePoint now);
  void pauseFetches(Peer& peer, base::TimePoint now) const;
  std::vector<base::VmId> choosePeersToNotify(const ConfigDigest& ours);

  base::VmId self_;
  PropagationTiming timing_;
  std::map<base::VmId, Peer> peers_;
  std::size_t nextNotified_ = 0;
};

// The live entry VM of a failure domain that watches the platform for its domain: the one with the
// lowest id. Nothing if the domain has no live VM.
std::optional<base::VmId> platformWatcherOf(const std::set<base::VmId>& liveVmsOfDomain);

} // namespace sycamore::configuration

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

// Actions that ConfigPropagation requests.
struct PropagationActions
{
  // Fetch newer objects from these peers (`/peer/config`) and report the result to onFetchResult().
  std::vector<base::VmId> fetchFrom;
  // Send these peers a heartbeat at once instead of waiting for the next regular one.
  std::vector<base::VmId> notify;
};

// Timeouts and intervals of ConfigPropagation.
struct PropagationTiming
{
  // Time after which an unanswered fetch is abandoned and another one may start.
  base::milliseconds fetchTimeout{ 300 };
  // Delay before the next fetch from a peer whose digest stays unequal, for example because that
  // peer is behind. Doubles up to the maximum while neither side changes; otherwise such a pair of
  // VMs would fetch from each other endlessly.
  base::milliseconds fetchInterval{ 200 };
  base::milliseconds maxFetchInterval{ 2000 };
};

// Decides which peers to fetch configuration from and which to notify of a change. Each VM notifies
// a bounded number of peers of each adoption at once; the digests in the heartbeats between all
// pairs of VMs make up for lost messages. Used on the control thread only.
class ConfigPropagation
{
public:
  // Maximum number of concurrent fetches.
  static constexpr std::size_t kMaxFetches = 3;
  // Maximum number of peers notified at once of an adoption. With 12 VMs this covers all others;
  // larger fleets are reached in several rounds, since each VM that adopts notifies others.
  static constexpr std::size_t kMaxNotified = 16;

  explicit ConfigPropagation(base::VmId self, PropagationTiming timing = {});

  // Sets the live entry VMs other than this one. To be called whenever they change.
  void setPeers(const std::set<base::VmId>& peers);

  // To be called with the digests when a heartbeat, or an answer to one, arrives from a peer.
  PropagationActions onHeartbeat(const base::VmId& peer,
                                 const ConfigDigest& theirs,
                                 const ConfigDigest& ours,
                                 base::TimePoint now);

  // To be called when this VM has adopted objects from its own change, the platform or a peer.
  PropagationActions onAdopted(const ConfigDigest& ours, base::TimePoint now);

  // To be called when a fetch was answered (with or without objects) or failed.
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
    base::TimePoint lastHeardAt{};
    std::optional<base::TimePoint> fetchDeadline;
    // This VM's digest when the fetch started. If it has changed since, the fetch may have returned
    // part of the newer objects.
    ConfigDigest digestAtFetchStart;
    base::TimePoint nextFetchAt{};
    base::Duration fetchInterval{};
  };

  std::vector<base::VmId> chooseFetches(const ConfigDigest& ours, base::TimePoint now);
  bool mayFetchFrom(const Peer& peer, const ConfigDigest& ours, base::TimePoint now) const;
  std::size_t expireFetches(base::TimePoint now);
  void delayNextFetch(Peer& peer, base::TimePoint now) const;
  std::vector<base::VmId> choosePeersToNotify(const ConfigDigest& ours);

  base::VmId self_;
  PropagationTiming timing_;
  std::map<base::VmId, Peer> peers_;
  std::size_t nextNotified_ = 0;
};

// Returns the entry VM that watches the platform on behalf of its failure domain: the live one with
// the lowest id, or nothing if the domain has no live VM.
std::optional<base::VmId> platformWatcherOf(const std::set<base::VmId>& liveVmsOfDomain);

} // namespace sycamore::configuration

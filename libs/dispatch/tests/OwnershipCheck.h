#pragma once

#include "OwnershipDraws.h"

#include <dispatch/KeyCoordinator.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::dispatch {

struct ModelServer;

enum class OwnershipBreach
{
  // Two servers held the same keys, for up to half a second or for longer.
  ShortHold,
  LongHold,
  // A key was worked on under two servers.
  Work,
  // A server got keys with a fencing token that isn't higher than another server's.
  Fence,
  // Keys have no owner at the end.
  NoOwner
};

// Checks the promises about the owners of keys. Every overlap of two holds counts, however short;
// its length is told apart.
class OwnershipCheck
{
public:
  explicit OwnershipCheck(const base::ManualClock& clock)
    : clock_(clock)
  {
  }

  using Servers = std::vector<std::unique_ptr<ModelServer>>;

  // A server takes a grant, or begins to work on a key.
  void onGrantTaken(const Servers& servers,
                    const ModelServer& server,
                    const GrantOrder& order,
                    std::uint64_t fence);
  void onWorkBegun(const Servers& servers, const ModelServer& server, KeyNumber key);

  // Follows the overlaps of holds until they end.
  void step();

  void report(OwnershipBreach breach, const std::string& text);

  // Returns whether nothing is left to be seen: a promise other than that of short overlaps is
  // broken and no overlap goes on.
  bool isDecided() const;
  bool isBroken(OwnershipBreach breach) const { return breaches_.contains(breach); }
  bool isBroken() const { return !breaches_.empty(); }
  std::set<OwnershipBreach> breaches() const;
  // Returns the first broken promise, the worst one if an overlap is among them; empty if all were
  // kept.
  std::string text() const;

private:
  struct Overlap
  {
    const ModelServer* first = nullptr;
    const ModelServer* second = nullptr;
    std::int64_t firstBorn = 0;
    std::int64_t secondBorn = 0;
    KeyNumber from = 0;
    KeyNumber to = 0;
    base::TimePoint begunAt;
    std::string text;
  };

  bool goesOn(const Overlap& overlap) const;
  void checkFences(const ModelServer& server, const GrantOrder& order, std::uint64_t fence);

  const base::ManualClock& clock_;
  std::map<OwnershipBreach, std::string> breaches_;
  std::vector<Overlap> overlaps_;
  // Highest fencing token with which each server had each range.
  std::map<base::ServerId, std::map<std::pair<KeyNumber, KeyNumber>, std::uint64_t>> fences_;
};

} // namespace sycamore::dispatch

#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <dispatch/BackendServer.h>
#include <dispatch/CoordinatorActions.h>
#include <dispatch/KeyRates.h>
#include <dispatch/ManagedRange.h>
#include <dispatch/RangePlacement.h>
#include <dispatch/RequestLimit.h>
#include <dispatch/WorkMean.h>

#include <map>
#include <optional>
#include <vector>

namespace sycamore::dispatch {

// Decides which keys should move to which server, from the measured load of the servers. It doesn't
// decide when a move is safe: a planned move only sets a range's target.
class MovePlanner
{
public:
  explicit MovePlanner(PlacementSettings settings);

  void recordKeys(const base::ServiceId& service, const KeyReport& report, base::TimePoint now);
  void recordWork(const base::ServerId& server, const WorkSample& sample, base::TimePoint now);
  // Lets the rates decay. To be called at short intervals, also while nothing is recorded.
  void advance(base::TimePoint now);
  // Sets the servers that name a limit in their answers.
  void setLimits(const std::vector<LimitedServer>& limited);

  // Returns the servers with their present load. `usable` are the service's servers that may own
  // keys; `coldRate` is the maximum of requests per second to a cold one.
  std::vector<PlacementServer> loads(const base::ServiceId& service,
                                     const std::vector<const BackendServer*>& usable,
                                     const ManagedRanges& ranges,
                                     double coldRate,
                                     base::TimePoint now) const;

  // Returns whether a round of planning for the service is due, because of the time or because
  // keys have become hot.
  bool isPlanDue(const base::ServiceId& service, base::TimePoint now) const;

  // Starts the moves that are due among `servers`, as loads() returns them. Returns whether it has
  // merged ranges, which then await a write.
  bool plan(const base::ServiceId& service,
            ManagedRanges& ranges,
            const std::vector<PlacementServer>& servers,
            base::TimePoint now);

  // Returns the server that is to own an unowned range: the target of its move if that is among
  // `servers`, and else the least loaded one, to which the range's load is added. Null if there is
  // none.
  const PlacementServer* ownerFor(const base::ServiceId& service,
                                  const ManagedRange& managed,
                                  std::vector<PlacementServer>& servers) const;

  // Returns the hot keys that were spread since the last call, for the log.
  std::vector<HotSpanSpread> takeSpreads();

private:
  struct Schedule
  {
    base::TimePoint nextPlanAt{};
    base::TimePoint nextSpreadAt{};
    // Whether a report has named hot keys since the last round.
    bool hasHotKeys = false;
  };

  bool isSpreadDue(const Schedule& schedule, base::TimePoint now) const;
  // Returns whether it has started moves.
  bool spreadHotSpans(const base::ServiceId& service,
                      ManagedRanges& ranges,
                      const std::vector<PlacementServer>& servers);
  // Returns whether it has merged ranges.
  bool mergeRanges(const base::ServiceId& service,
                   ManagedRanges& ranges,
                   const std::vector<PlacementServer>& servers);
  void startSingleMoves(const base::ServiceId& service,
                        ManagedRanges& ranges,
                        std::vector<PlacementServer> servers);
  std::size_t initialRanges(std::size_t servers) const;

  PlacementSettings settings_;
  std::map<base::ServiceId, KeyRates> rates_;
  std::map<base::ServiceId, Schedule> schedules_;
  std::map<base::ServerId, WorkMean> work_;
  std::map<base::ServerId, LimitedServer> limited_;
  std::vector<HotSpanSpread> spreads_;
};

} // namespace sycamore::dispatch

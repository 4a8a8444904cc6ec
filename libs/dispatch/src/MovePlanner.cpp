#include <dispatch/MovePlanner.h>

#include <dispatch/HotSpanPlanner.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Maximum number of cold ranges that one round gives to their neighbours' owners.
constexpr std::size_t kMaxReunionMoves = 64;

std::size_t keyCount(const ManagedRange& managed)
{
  return static_cast<std::size_t>(managed.range.to - managed.range.from) + 1;
}

KeyRanges movableRanges(const ManagedRanges& ranges)
{
  KeyRanges movable;
  for (const ManagedRange& managed : ranges) {
    if (managed.phase == RangePhase::Owned && !managed.target) {
      movable.push_back(managed.range);
    }
  }
  return movable;
}

} // namespace

MovePlanner::MovePlanner(PlacementSettings settings)
  : settings_(settings)
{
}

void MovePlanner::recordKeys(const base::ServiceId& service,
                             const KeyReport& report,
                             base::TimePoint now)
{
  rates_[service].add(report, now);
  Schedule& schedule = schedules_[service];
  schedule.hasHotKeys = schedule.hasHotKeys || report.hasHotSpan();
}

void MovePlanner::recordWork(const base::ServerId& server,
                             const WorkSample& sample,
                             base::TimePoint now)
{
  work_[server].add(sample, now);
}

void MovePlanner::advance(base::TimePoint now)
{
  for (auto& [service, rates] : rates_) {
    rates.advance(now);
  }
}

void MovePlanner::setLimits(const std::vector<LimitedServer>& limited)
{
  limited_.clear();
  for (const LimitedServer& entry : limited) {
    limited_[entry.server.id] = entry;
  }
}

std::vector<PlacementServer> MovePlanner::loads(const base::ServiceId& service,
                                                const std::vector<const BackendServer*>& usable,
                                                const ManagedRanges& ranges,
                                                double coldRate,
                                                base::TimePoint now) const
{
  std::vector<PlacementServer> result;
  std::map<base::ServerId, std::size_t> index;
  const double assumed = std::chrono::duration<double>(settings_.assumedWork).count();
  for (const BackendServer* server : usable) {
    PlacementServer entry;
    entry.id = server->id;
    entry.born = server->born;
    entry.domain = server->domain;
    entry.slots = server->slots;
    const auto measured = work_.find(server->id);
    entry.work = measured == work_.end() ? assumed : measured->second.seconds(assumed);
    if (now < server->coldUntil) {
      entry.rateLimit = coldRate;
    }
    const auto limited = limited_.find(server->id);
    if (limited != limited_.end() && limited->second.server.born == server->born) {
      const double perSecond = limited->second.limit.perSecond;
      entry.rateLimit = entry.rateLimit > 0 ? std::min(entry.rateLimit, perSecond) : perSecond;
    }
    index[server->id] = result.size();
    result.push_back(entry);
  }
  const auto rates = rates_.find(service);
  for (const ManagedRange& managed : ranges) {
    const auto found = index.find(managed.target ? *managed.target : managed.range.owner);
    if (found == index.end()) {
      continue;
    }
    PlacementServer& server = result[found->second];
    ++server.ranges;
    server.keys += keyCount(managed);
    if (rates != rates_.end()) {
      server.rate += rates->second.rate(managed.range.from, managed.range.to);
      server.fastRate += rates->second.fastRate(managed.range.from, managed.range.to);
      server.currentRate += rates->second.currentRate(managed.range.from, managed.range.to);
    }
  }
  return result;
}

bool MovePlanner::isSpreadDue(const Schedule& schedule, base::TimePoint now) const
{
  return schedule.hasHotKeys && now >= schedule.nextSpreadAt;
}

bool MovePlanner::isPlanDue(const base::ServiceId& service, base::TimePoint now) const
{
  const auto found = schedules_.find(service);
  return found == schedules_.end() || now >= found->second.nextPlanAt ||
         isSpreadDue(found->second, now);
}

bool MovePlanner::plan(const base::ServiceId& service,
                       ManagedRanges& ranges,
                       const std::vector<PlacementServer>& servers,
                       base::TimePoint now)
{
  Schedule& schedule = schedules_[service];
  if (isSpreadDue(schedule, now)) {
    schedule.hasHotKeys = false;
    schedule.nextSpreadAt = now + settings_.spreadInterval;
    if (servers.size() >= settings_.minServersToSpread &&
        spreadHotSpans(service, ranges, servers)) {
      // `servers` don't have the new load yet, so that the other moves wait for the next call.
      return false;
    }
  }
  if (now < schedule.nextPlanAt) {
    return false;
  }
  schedule.nextPlanAt = now + settings_.planInterval;
  const bool hasMerged = mergeRanges(service, ranges, servers);
  startSingleMoves(service, ranges, servers);
  return hasMerged;
}

bool MovePlanner::spreadHotSpans(const base::ServiceId& service,
                                 ManagedRanges& ranges,
                                 const std::vector<PlacementServer>& servers)
{
  const auto maxRanges =
    static_cast<std::size_t>(settings_.maxRangesFactor * initialRanges(servers.size()));
  // A move splits at most two ranges off its range.
  const std::size_t affordable = maxRanges > ranges.size() ? (maxRanges - ranges.size()) / 2 : 0;
  const HotSpanPlan plan = planHotSpans(servers,
                                        movableRanges(ranges),
                                        rates_[service],
                                        std::min(settings_.maxSpreadMoves, affordable));
  for (const PlannedMove& move : plan.moves) {
    startMove(ranges, move);
  }
  if (plan.moves.empty()) {
    return false;
  }
  const auto first = std::ranges::min_element(plan.moves, {}, &PlannedMove::from);
  const auto last = std::ranges::max_element(plan.moves, {}, &PlannedMove::to);
  spreads_.push_back(
    { service, first->from, last->to, plan.keys, plan.rate, plan.moves.size(), plan.servers });
  return true;
}

// Splits add ranges, and each range costs one call per renewal.
bool MovePlanner::mergeRanges(const base::ServiceId& service,
                              ManagedRanges& ranges,
                              const std::vector<PlacementServer>& servers)
{
  if (static_cast<double>(ranges.size()) < settings_.mergeFactor * initialRanges(servers.size())) {
    return false;
  }
  const bool hasMerged = mergeOwnedRanges(ranges);
  for (const PlannedMove& move : planReunion(servers, ranges, rates_[service], kMaxReunionMoves)) {
    startMove(ranges, move);
  }
  return hasMerged;
}

void MovePlanner::startSingleMoves(const base::ServiceId& service,
                                   ManagedRanges& ranges,
                                   std::vector<PlacementServer> servers)
{
  const auto moving = static_cast<std::size_t>(
    std::count_if(ranges.begin(), ranges.end(), [](const ManagedRange& managed) {
      return managed.target.has_value() || managed.phase != RangePhase::Owned;
    }));
  const std::size_t atOnce =
    std::max<std::size_t>(settings_.maxConcurrentMoves, servers.size() / settings_.serversPerMove);
  for (std::size_t i = moving; i < atOnce; ++i) {
    const KeyRanges movable = movableRanges(ranges);
    const auto move = planMove(servers, movable, rates_[service], settings_);
    if (!move) {
      return;
    }
    applyMove(servers,
              findRange(movable, move->from)->owner,
              *move,
              rates_[service].rate(move->from, move->to));
    startMove(ranges, *move);
  }
}

std::size_t MovePlanner::initialRanges(std::size_t servers) const
{
  return servers * initialRangesPerServer(servers, settings_);
}

const PlacementServer* MovePlanner::ownerFor(const base::ServiceId& service,
                                             const ManagedRange& managed,
                                             std::vector<PlacementServer>& servers) const
{
  if (managed.target) {
    const auto target = std::ranges::find(servers, *managed.target, &PlacementServer::id);
    if (target != servers.end()) {
      return &*target;
    }
  }
  const auto rates = rates_.find(service);
  const double rate =
    rates == rates_.end() ? 0 : rates->second.rate(managed.range.from, managed.range.to);
  PlacementServer* const chosen = leastLoaded(servers, rate, keyCount(managed));
  if (chosen != nullptr) {
    chosen->rate += rate;
    chosen->keys += keyCount(managed);
  }
  return chosen;
}

std::vector<HotSpanSpread> MovePlanner::takeSpreads()
{
  return std::exchange(spreads_, {});
}

} // namespace sycamore::dispatch

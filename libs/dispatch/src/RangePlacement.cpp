#include <dispatch/RangePlacement.h>

#include <algorithm>
#include <cmath>

namespace sycamore::dispatch {

namespace {

std::size_t keysOf(const KeyRange& range)
{
  return static_cast<std::size_t>(range.to - range.from) + 1;
}

// A part of a range, from its lower end, whose rate is closest to the wanted one. Parts end with a
// bucket of keys.
PlannedMove partOf(const KeyRange& range, const KeyRates& rates, double wanted)
{
  PlannedMove part{ range.from, range.to, {} };
  double sum = 0;
  for (unsigned at = range.from; at < range.to;) {
    const unsigned end =
      std::min<unsigned>(range.to, (at / kKeysPerBucket + 1) * kKeysPerBucket - 1);
    const double rate = rates.rate(static_cast<KeyNumber>(at), static_cast<KeyNumber>(end));
    if (sum > 0 && sum + rate / 2 > wanted) {
      break;
    }
    sum += rate;
    part.to = static_cast<KeyNumber>(end);
    at = end + 1;
  }
  return part;
}

// Time that all requests of a server spend there per second.
double totalTime(const PlacementServer& server, double rate)
{
  return rate * expectedTime(server, rate);
}

// Time that one request more costs all requests of a server.
double marginalTime(const PlacementServer& server, double rate)
{
  constexpr double kStep = 0.5;
  return (totalTime(server, rate + kStep) - totalTime(server, rate)) / kStep;
}

// Time that all callers together save per second if `rate` requests pass from one to the other.
double saving(const PlacementServer& from, const PlacementServer& to, double rate)
{
  return totalTime(from, from.rate) - totalTime(from, from.rate - rate) + totalTime(to, to.rate) -
         totalTime(to, to.rate + rate);
}

// Standard deviation of a rate that was counted with the mean of KeyRates.
double uncertainty(double rate)
{
  return std::sqrt(rate / (2 * KeyRates::kMeanSeconds));
}

// The rate whose move saves most.
double bestRate(const PlacementServer& from, const PlacementServer& to)
{
  constexpr int kSteps = 24;
  double best = 0;
  double bestSaving = 0;
  for (int i = 1; i <= kSteps; ++i) {
    const double rate = from.rate * i / kSteps;
    const double saved = saving(from, to, rate);
    if (saved > bestSaving) {
      best = rate;
      bestSaving = saved;
    }
  }
  return best;
}

// A server that joined gets the busiest server's widest range, or half of it if it owns just one.
std::optional<PlannedMove> firstKeysFor(const PlacementServer& joined,
                                        const std::vector<PlacementServer>& servers,
                                        const KeyRanges& ranges)
{
  const auto giver = std::max_element(
    servers.begin(), servers.end(), [](const PlacementServer& a, const PlacementServer& b) {
      return std::pair(marginalTime(a, a.rate), a.keys) <
             std::pair(marginalTime(b, b.rate), b.keys);
    });
  const KeyRange* widest = nullptr;
  for (const KeyRange& range : ranges) {
    if (range.owner == giver->id && (widest == nullptr || keysOf(range) > keysOf(*widest))) {
      widest = &range;
    }
  }
  if (widest == nullptr) {
    return std::nullopt;
  }
  PlannedMove move{ widest->from, widest->to, joined.id };
  if (giver->ranges == 1) {
    move.to = static_cast<KeyNumber>(widest->from + (widest->to - widest->from) / 2);
  }
  return move;
}

} // namespace

// Sakasegawa's approximation of the wait in a queue with several servers. Beyond a utilization at
// which it no longer makes sense the queue grows with the excess.
double expectedTime(const PlacementServer& server, double rate)
{
  constexpr double kFull = 0.95;
  constexpr double kOverload = 20;
  const double slots = server.slots;
  const double capacity =
    server.rateLimit > 0 ? std::min(server.rateLimit, slots / server.work) : slots / server.work;
  const double utilization = rate / capacity;
  const double bounded = std::min(utilization, kFull);
  const double wait = std::pow(bounded, std::sqrt(2 * (slots + 1)) - 1) / (slots * (1 - bounded));
  const double excess = std::max(0.0, utilization - kFull) * kOverload;
  return server.work * (1 + wait + excess);
}

KeyRanges partitionKeys(const std::vector<PlacementServer>& servers, unsigned rangesPerServer)
{
  KeyRanges ranges;
  const std::size_t count = servers.size() * rangesPerServer;
  for (std::size_t i = 0; i < count; ++i) {
    const auto first = static_cast<KeyNumber>((kLastKey + 1ULL) * i / count);
    const auto last = static_cast<KeyNumber>((kLastKey + 1ULL) * (i + 1) / count - 1);
    const PlacementServer& owner = servers[i % servers.size()];
    ranges.push_back({ first, last, owner.id, owner.born, 1 });
  }
  return ranges;
}

PlacementServer* leastLoaded(std::vector<PlacementServer>& servers, double rate, std::size_t keys)
{
  PlacementServer* best = nullptr;
  const auto cost = [&](const PlacementServer& server) {
    // Keys without requests at the moment are spread too.
    return totalTime(server, server.rate + rate) - totalTime(server, server.rate) +
           1e-6 * static_cast<double>(server.keys + keys);
  };
  for (PlacementServer& server : servers) {
    if (best == nullptr || cost(server) < cost(*best)) {
      best = &server;
    }
  }
  return best;
}

std::optional<PlannedMove> planMove(const std::vector<PlacementServer>& servers,
                                    const KeyRanges& ranges,
                                    const KeyRates& rates,
                                    const PlacementSettings& settings)
{
  if (servers.size() < 2) {
    return std::nullopt;
  }
  for (const PlacementServer& server : servers) {
    if (server.ranges == 0) {
      return firstKeysFor(server, servers, ranges);
    }
  }
  const auto byMargin = [](const PlacementServer& a, const PlacementServer& b) {
    return marginalTime(a, a.rate) < marginalTime(b, b.rate);
  };
  const auto [target, giver] = std::minmax_element(servers.begin(), servers.end(), byMargin);
  const double wanted = bestRate(*giver, *target);
  // Rates are counted over a short time. A saving counts only if it stands when both are misjudged.
  PlacementServer surelyGives = *giver;
  PlacementServer surelyTakes = *target;
  surelyGives.rate = std::max(0.0, giver->rate - uncertainty(giver->rate));
  surelyTakes.rate = target->rate + uncertainty(target->rate);
  std::optional<PlannedMove> best;
  double bestSaving = 0;
  for (const KeyRange& range : ranges) {
    if (range.owner != giver->id) {
      continue;
    }
    PlannedMove move{ range.from, range.to, target->id };
    if (rates.rate(range.from, range.to) > wanted * 1.3) {
      move = partOf(range, rates, wanted);
      move.target = target->id;
    }
    const double rate = std::min(surelyGives.rate, rates.rate(move.from, move.to));
    const double saved = saving(surelyGives, surelyTakes, rate);
    if (saved > bestSaving && saved > rate * settings.minSavingPerRequest * giver->work) {
      best = move;
      bestSaving = saved;
    }
  }
  return best;
}

} // namespace sycamore::dispatch

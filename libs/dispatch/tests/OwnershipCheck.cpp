#include "OwnershipCheck.h"

#include "OwnershipServers.h"

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// The users' rule counts two holds that last for longer than this.
constexpr base::Duration kLongHold = base::milliseconds(500);

std::string nameOf(const ModelServer& server)
{
  return incarnationOf(server.id, server.born);
}

std::string keysText(KeyNumber from, KeyNumber to)
{
  return std::to_string(from) + " to " + std::to_string(to);
}

} // namespace

void OwnershipCheck::onGrantTaken(const Servers& servers,
                                  const ModelServer& server,
                                  const GrantOrder& order,
                                  std::uint64_t fence)
{
  const base::TimePoint now = clock_.now();
  for (const auto& other : servers) {
    if (other.get() == &server) {
      continue;
    }
    for (const ModelHold& hold : other->holds) {
      if (now < hold.until && overlap(hold.from, hold.to, order.from, order.to)) {
        overlaps_.push_back({ other.get(),
                              &server,
                              other->born,
                              server.born,
                              std::max(hold.from, order.from),
                              std::min(hold.to, order.to),
                              now,
                              nameOf(server) + " with fencing token " + std::to_string(fence) +
                                ", " + nameOf(*other) + " with " + std::to_string(hold.fence) });
      }
    }
    for (const ModelWork& work : other->works) {
      if (now < work.until && order.from <= work.key && work.key <= order.to) {
        report(OwnershipBreach::Work,
               nameOf(server) + " takes key " + std::to_string(work.key) + " while " +
                 nameOf(*other) + " is at work on it");
      }
    }
  }
  checkFences(server, order, fence);
}

void OwnershipCheck::checkFences(const ModelServer& server,
                                 const GrantOrder& order,
                                 std::uint64_t fence)
{
  for (const auto& [id, ranges] : fences_) {
    if (id == server.id) {
      continue;
    }
    for (const auto& [keys, had] : ranges) {
      if (had >= fence && overlap(keys.first, keys.second, order.from, order.to)) {
        report(OwnershipBreach::Fence,
               nameOf(server) + " takes keys with fencing token " + std::to_string(fence) + ", " +
                 id.value() + " had them with " + std::to_string(had));
      }
    }
  }
  const std::pair keys{ order.from, order.to };
  std::uint64_t& highest = fences_[server.id][keys];
  highest = std::max(highest, fence);
}

void OwnershipCheck::onWorkBegun(const Servers& servers, const ModelServer& server, KeyNumber key)
{
  for (const auto& other : servers) {
    const bool isAtWork = std::ranges::any_of(other->works, [&](const ModelWork& work) {
      return clock_.now() < work.until && work.key == key;
    });
    if (other.get() != &server && isAtWork) {
      report(OwnershipBreach::Work,
             nameOf(server) + " and " + nameOf(*other) + " work on key " + std::to_string(key));
    }
  }
}

bool OwnershipCheck::goesOn(const Overlap& overlapping) const
{
  const auto holdsKey = [&](const ModelServer& server, std::int64_t born, unsigned key) {
    return server.born == born && std::ranges::any_of(server.holds, [&](const ModelHold& hold) {
             return clock_.now() < hold.until && hold.from <= key && key <= hold.to;
           });
  };
  const auto bothHold = [&](unsigned key) {
    return overlapping.from <= key && key <= overlapping.to &&
           holdsKey(*overlapping.first, overlapping.firstBorn, key) &&
           holdsKey(*overlapping.second, overlapping.secondBorn, key);
  };
  // Keys that both hold begin where one of the holds does.
  const auto beginsBoth = [&](const ModelHold& hold) { return bothHold(hold.from); };
  return bothHold(overlapping.from) || std::ranges::any_of(overlapping.first->holds, beginsBoth) ||
         std::ranges::any_of(overlapping.second->holds, beginsBoth);
}

void OwnershipCheck::step()
{
  std::erase_if(overlaps_, [this](const Overlap& overlapping) {
    if (goesOn(overlapping)) {
      return false;
    }
    const base::Duration length = clock_.now() - overlapping.begunAt;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(length);
    report(length > kLongHold ? OwnershipBreach::LongHold : OwnershipBreach::ShortHold,
           "two servers held the keys " + keysText(overlapping.from, overlapping.to) + " for " +
             std::to_string(milliseconds.count()) + " ms: " + overlapping.text);
    return true;
  });
}

void OwnershipCheck::report(OwnershipBreach breach, const std::string& text)
{
  const auto elapsed = clock_.now() - base::ManualClock().now();
  breaches_.try_emplace(breach,
                        text + ", until " +
                          std::to_string(std::chrono::duration<double>(elapsed).count()) + " s");
}

bool OwnershipCheck::isDecided() const
{
  return overlaps_.empty() && std::ranges::any_of(breaches_, [](const auto& breach) {
           return breach.first != OwnershipBreach::ShortHold;
         });
}

std::set<OwnershipBreach> OwnershipCheck::breaches() const
{
  std::set<OwnershipBreach> result;
  for (const auto& [breach, text] : breaches_) {
    result.insert(breach);
  }
  return result;
}

std::string OwnershipCheck::text() const
{
  for (const OwnershipBreach breach : { OwnershipBreach::LongHold,
                                        OwnershipBreach::Work,
                                        OwnershipBreach::Fence,
                                        OwnershipBreach::ShortHold,
                                        OwnershipBreach::NoOwner }) {
    const auto found = breaches_.find(breach);
    if (found != breaches_.end()) {
      return found->second;
    }
  }
  return "";
}

} // namespace sycamore::dispatch

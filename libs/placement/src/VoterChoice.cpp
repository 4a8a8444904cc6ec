#include <placement/VoterChoice.h>

#include "Rendezvous.h"
#include <base/KeyHash.h>

#include <algorithm>
#include <functional>

namespace sycamore::placement {

namespace {

constexpr std::size_t kVoters = 3;
// Hold mode needs a majority inside the server's domain.
constexpr std::ptrdiff_t kMaxElsewhereInHoldMode = 1;

// Chooses in three steps: keep what may stay, fill the places by preference, then put the home
// domain first.
class VoterChooser
{
public:
  VoterChooser(const base::ServerId& server,
               const base::DomainId& home,
               std::span<const EntryVm> entryVms)
    : home_(home)
  {
    const std::uint64_t item = base::hashBytes(server.value());
    for (const EntryVm& vm : entryVms) {
      if (vm.isLive) {
        live_.push_back({ &vm, rendezvousScore(item, base::hashBytes(vm.id.value())) });
      }
    }
    std::ranges::sort(live_, [](const Scored& a, const Scored& b) {
      return a.score != b.score ? a.score > b.score : a.vm->id < b.vm->id;
    });
  }

  std::vector<base::VmId> choose(VoterMode mode, std::span<const base::VmId> current)
  {
    keepLive(current);
    if (mode == VoterMode::Hold) {
      dropElsewhere();
      fill([&](const EntryVm& vm) { return isHome(vm); });
    } else {
      dropSharedDomains();
      fillHomeFirst();
      fill([&](const EntryVm& vm) { return !sharesDomain(vm); });
    }
    fill([](const EntryVm&) { return true; });
    return finish(current);
  }

private:
  struct Scored
  {
    const EntryVm* vm;
    std::uint64_t score;
  };

  bool isHome(const EntryVm& vm) const { return vm.domain == home_; }
  bool isChosen(const EntryVm& vm) const
  {
    return std::ranges::find(chosen_, &vm) != chosen_.end();
  }
  bool sharesDomain(const EntryVm& vm) const
  {
    return std::ranges::any_of(
      chosen_, [&](const EntryVm* other) { return other != &vm && other->domain == vm.domain; });
  }
  bool hasSpare(const std::function<bool(const EntryVm&)>& suits) const
  {
    return std::ranges::any_of(
      live_, [&](const Scored& entry) { return !isChosen(*entry.vm) && suits(*entry.vm); });
  }

  void keepLive(std::span<const base::VmId> current)
  {
    for (const base::VmId& voter : current) {
      const auto at =
        std::ranges::find_if(live_, [&](const Scored& entry) { return entry.vm->id == voter; });
      if (at != live_.end() && !isChosen(*at->vm) && chosen_.size() < kVoters) {
        chosen_.push_back(at->vm);
      }
    }
  }

  void dropElsewhere()
  {
    const auto isElsewhere = [&](const EntryVm* vm) { return !isHome(*vm); };
    auto spares = std::ranges::count_if(
      live_, [&](const Scored& entry) { return isHome(*entry.vm) && !isChosen(*entry.vm); });
    while (spares > 0 && std::ranges::count_if(chosen_, isElsewhere) > kMaxElsewhereInHoldMode) {
      const auto last = std::find_if(chosen_.rbegin(), chosen_.rend(), isElsewhere);
      chosen_.erase(std::next(last).base());
      --spares;
    }
  }

  void dropSharedDomains()
  {
    for (std::size_t i = chosen_.size(); i-- > 0;) {
      const EntryVm& vm = *chosen_[i];
      if (sharesDomain(vm) &&
          hasSpare([&](const EntryVm& spare) { return !sharesDomain(spare); })) {
        chosen_.erase(chosen_.begin() + static_cast<std::ptrdiff_t>(i));
      }
    }
  }

  void fillHomeFirst()
  {
    const auto home = [&](const EntryVm& vm) { return isHome(vm); };
    const bool hasHome =
      std::ranges::any_of(chosen_, [&](const EntryVm* vm) { return isHome(*vm); });
    if (hasHome || !hasSpare(home)) {
      return;
    }
    if (chosen_.size() == kVoters) {
      chosen_.pop_back();
    }
    for (const Scored& entry : live_) {
      if (isHome(*entry.vm)) {
        chosen_.push_back(entry.vm);
        return;
      }
    }
  }

  void fill(const std::function<bool(const EntryVm&)>& suits)
  {
    for (const Scored& entry : live_) {
      if (chosen_.size() >= kVoters) {
        return;
      }
      if (!isChosen(*entry.vm) && suits(*entry.vm)) {
        chosen_.push_back(entry.vm);
      }
    }
  }

  std::vector<base::VmId> finish(std::span<const base::VmId> current)
  {
    // The constrained form is not compiled by clang 14, which the linter uses.
    std::stable_partition(
      chosen_.begin(), chosen_.end(), [&](const EntryVm* vm) { return isHome(*vm); });
    std::vector<base::VmId> voters;
    for (const EntryVm* vm : chosen_) {
      voters.push_back(vm->id);
    }
    for (const base::VmId& voter : current) {
      if (voters.size() < kVoters && std::ranges::find(voters, voter) == voters.end()) {
        voters.push_back(voter);
      }
    }
    if (std::ranges::is_permutation(voters, current)) {
      return { current.begin(), current.end() };
    }
    return voters;
  }

  const base::DomainId& home_;
  std::vector<Scored> live_;
  std::vector<const EntryVm*> chosen_;
};

} // namespace

std::vector<base::VmId> chooseVoters(const base::ServerId& server,
                                     const base::DomainId& domain,
                                     VoterMode mode,
                                     std::span<const base::VmId> current,
                                     std::span<const EntryVm> entryVms)
{
  return VoterChooser(server, domain, entryVms).choose(mode, current);
}

} // namespace sycamore::placement

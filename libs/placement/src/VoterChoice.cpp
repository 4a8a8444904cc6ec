#include <placement/VoterChoice.h>

#include "Rendezvous.h"
#include <base/KeyHash.h>

#include <algorithm>
#include <functional>

namespace sycamore::placement {

namespace {

constexpr std::size_t kVoters = 3;
// Hold mode needs a majority inside the server's domain.
constexpr std::ptrdiff_t kMaxRemoteVotersInHoldMode = 1;

// Chooses voters in three steps: keeps the current voters that may stay, fills the free places by
// preference, then puts voters of the server's own domain first.
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
        liveVms_.push_back({ &vm, rendezvousScore(item, base::hashBytes(vm.id.value())) });
      }
    }
    std::ranges::sort(liveVms_, [](const ScoredVm& a, const ScoredVm& b) {
      return a.score != b.score ? a.score > b.score : a.vm->id < b.vm->id;
    });
  }

  std::vector<base::VmId> choose(VoterMode mode, std::span<const base::VmId> current)
  {
    keepLiveVoters(current);
    if (mode == VoterMode::Hold) {
      dropRemoteVoters();
      addVoters([&](const EntryVm& vm) { return isHome(vm); });
    } else {
      dropVotersSharingDomain();
      ensureHomeVoter();
      addVoters([&](const EntryVm& vm) { return !sharesDomain(vm); });
    }
    addVoters([](const EntryVm&) { return true; });
    return orderVoters(current);
  }

private:
  struct ScoredVm
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
  bool hasReplacement(const std::function<bool(const EntryVm&)>& isSuitable) const
  {
    return std::ranges::any_of(liveVms_, [&](const ScoredVm& entry) {
      return !isChosen(*entry.vm) && isSuitable(*entry.vm);
    });
  }

  void keepLiveVoters(std::span<const base::VmId> current)
  {
    for (const base::VmId& voter : current) {
      const auto found = std::ranges::find_if(
        liveVms_, [&](const ScoredVm& entry) { return entry.vm->id == voter; });
      if (found != liveVms_.end() && !isChosen(*found->vm) && chosen_.size() < kVoters) {
        chosen_.push_back(found->vm);
      }
    }
  }

  void dropRemoteVoters()
  {
    const auto isRemote = [&](const EntryVm* vm) { return !isHome(*vm); };
    auto replacements = std::ranges::count_if(
      liveVms_, [&](const ScoredVm& entry) { return isHome(*entry.vm) && !isChosen(*entry.vm); });
    while (replacements > 0 &&
           std::ranges::count_if(chosen_, isRemote) > kMaxRemoteVotersInHoldMode) {
      const auto last = std::find_if(chosen_.rbegin(), chosen_.rend(), isRemote);
      chosen_.erase(std::next(last).base());
      --replacements;
    }
  }

  void dropVotersSharingDomain()
  {
    for (std::size_t i = chosen_.size(); i-- > 0;) {
      const EntryVm& vm = *chosen_[i];
      if (sharesDomain(vm) &&
          hasReplacement([&](const EntryVm& candidate) { return !sharesDomain(candidate); })) {
        chosen_.erase(chosen_.begin() + static_cast<std::ptrdiff_t>(i));
      }
    }
  }

  void ensureHomeVoter()
  {
    const auto home = [&](const EntryVm& vm) { return isHome(vm); };
    const bool hasHome =
      std::ranges::any_of(chosen_, [&](const EntryVm* vm) { return isHome(*vm); });
    if (hasHome || !hasReplacement(home)) {
      return;
    }
    if (chosen_.size() == kVoters) {
      chosen_.pop_back();
    }
    for (const ScoredVm& entry : liveVms_) {
      if (isHome(*entry.vm)) {
        chosen_.push_back(entry.vm);
        return;
      }
    }
  }

  void addVoters(const std::function<bool(const EntryVm&)>& isSuitable)
  {
    for (const ScoredVm& entry : liveVms_) {
      if (chosen_.size() >= kVoters) {
        return;
      }
      if (!isChosen(*entry.vm) && isSuitable(*entry.vm)) {
        chosen_.push_back(entry.vm);
      }
    }
  }

  std::vector<base::VmId> orderVoters(std::span<const base::VmId> current)
  {
    // std::ranges::stable_partition does not compile with clang 14, which the linter uses.
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
  std::vector<ScoredVm> liveVms_;
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

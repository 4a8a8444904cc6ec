#include <entry/CoordinatorHandover.h>

namespace sycamore::entry {

namespace {

// Time allowed for the reports of all VMs to arrive before a handover is considered.
constexpr base::Duration kHandoverDelay = base::milliseconds(1000);

} // namespace

CoordinatorHandover::CoordinatorHandover(EventLog& log, double ownCapacity)
  : log_(log)
  , ownCapacity_(ownCapacity)
{
}

bool CoordinatorHandover::onEpoch(std::uint64_t epoch, base::TimePoint now)
{
  if (epoch == epoch_) {
    return false;
  }
  epoch_ = epoch;
  epochBeganAt_ = now;
  return true;
}

void CoordinatorHandover::beginIfWorthwhile(const std::vector<dispatch::Candidate>& successors,
                                            base::TimePoint now)
{
  if (handoverEpoch_ != 0 || successors.empty() || now < epochBeganAt_ + kHandoverDelay ||
      !dispatch::isWorthHandover(ownCapacity_, successors.front())) {
    return;
  }
  handoverEpoch_ = epoch_;
  log_.write("coordinator_hands_over",
             { { "to", successors.front().vm.value() },
               { "capacity", successors.front().capacity },
               { "own_capacity", ownCapacity_ } });
}

} // namespace sycamore::entry

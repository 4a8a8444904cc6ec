#include <dispatch/Takeover.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Bits that leave room below an era for its epochs, and below an epoch for the fencing tokens of
// one term.
constexpr unsigned kEpochBits = 20;
constexpr unsigned kFenceBits = 12;

// Raises epoch and fencing tokens above all of the eras before, which the store may have forgotten.
void beginEra(OwnershipRecord& record, std::uint64_t era)
{
  record.era = era;
  record.mayLackOwners = true;
  record.epoch = std::max(record.epoch, era << kEpochBits);
  record.fenceFloor = std::max(record.fenceFloor, record.epoch << kFenceBits);
}

void forgetOwners(OwnershipRecord& record)
{
  for (auto& [service, ranges] : record.services) {
    for (KeyRange& range : ranges) {
      range.owner = base::ServerId();
      range.born = 0;
    }
  }
}

} // namespace

bool isFromBeforeRestoration(const OwnershipRecord& stored, std::uint64_t era)
{
  const bool isMissing = stored.epoch == 0;
  return isMissing ? era > 1 : stored.era < era;
}

Takeover planTakeover(const OwnershipRecord& stored,
                      std::uint64_t era,
                      std::uint64_t knownEpoch,
                      const Coordinator& self,
                      bool isFormerProcessHere)
{
  Takeover takeover{ stored, false };
  OwnershipRecord& record = takeover.record;
  const bool hadCoordinator = !stored.coordinator.vm.value().empty();
  record.coordinator = self;
  ++record.epoch;
  if (isFromBeforeRestoration(stored, era)) {
    record.epoch = std::max(record.epoch, knownEpoch + 1);
    beginEra(record, era);
    forgetOwners(record);
  } else {
    record.era = era;
    takeover.haveOthersStopped =
      !hadCoordinator || (isFormerProcessHere && stored.previousCoordinatorsStopped);
  }
  record.previousCoordinatorsStopped = takeover.haveOthersStopped;
  return takeover;
}

Takeover planContinuation(const OwnershipRecord& own,
                          const OwnershipRecord& stored,
                          std::uint64_t era)
{
  Takeover takeover{ own, false };
  OwnershipRecord& record = takeover.record;
  record.epoch = std::max(own.epoch, stored.epoch) + 1;
  beginEra(record, era);
  record.previousCoordinatorsStopped = false;
  return takeover;
}

} // namespace sycamore::dispatch

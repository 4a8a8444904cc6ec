#pragma once

#include <entry/CallClient.h>
#include <entry/EventLog.h>
#include <entry/StoreClient.h>

#include <dispatch/KeyCoordinator.h>
#include <dispatch/OwnershipCopy.h>

#include <functional>
#include <memory>
#include <optional>

namespace sycamore::entry {

// Runs this entry VM's part as coordinator, as long as it is: carries out what KeyCoordinator
// decides, by calls to servers and conditional writes to the store. Control thread only.
class CoordinatorDuty
{
public:
  // Told of each record that the store has confirmed, and of what has changed.
  using Confirmed =
    std::function<void(const dispatch::OwnershipRecord&, const dispatch::OwnershipDelta&)>;
  // The record of another VM that was found while trying.
  using Seen = std::function<void(const dispatch::OwnershipRecord&, std::uint64_t revision)>;

  CoordinatorDuty(CallClient& calls,
                  StoreClient& store,
                  EventLog& log,
                  dispatch::CoordinatorSettings settings,
                  dispatch::Coordinator self,
                  Confirmed confirmed,
                  Seen seen);

  // Tries to become the coordinator by a conditional write, unless the record has a higher epoch
  // than the known one: another VM has just become it.
  void tryAcquire(std::uint64_t knownEpoch);

  // Whether this VM is the coordinator, as far as it knows.
  bool active() const { return coordinator_ != nullptr; }
  // Null unless active.
  dispatch::KeyCoordinator* coordinator() const { return coordinator_.get(); }
  // Revision of the record.
  std::uint64_t revision() const { return revision_; }
  // Whether the last confirmation by the store has succeeded.
  bool storeReachable() const { return storeReachable_; }
  // Whether the store has answered so lately that watches of this VM would hear of changes.
  bool seesStore(base::TimePoint now) const;

  // Another VM has taken over.
  void resign(const char* why);

  void tick(base::TimePoint now);

private:
  void onAcquireRead(const StoreAnswer& answer, std::uint64_t knownEpoch);
  void begin(dispatch::OwnershipRecord record, std::uint64_t revision, base::TimePoint othersUntil);
  void writeRecord();
  void onWritten(const StoreAnswer& answer, base::TimePoint asked, const std::string& content);
  void confirm();
  void noteConfirmed(base::TimePoint asked);
  void onConfirmed(const StoreAnswer& answer, base::TimePoint asked);
  void grant(const dispatch::GrantOrder& order);
  void release(const dispatch::ReleaseOrder& order);

  CallClient& calls_;
  StoreClient& store_;
  EventLog& log_;
  dispatch::CoordinatorSettings settings_;
  dispatch::Coordinator self_;
  Confirmed confirmed_;
  Seen seen_;
  std::unique_ptr<dispatch::KeyCoordinator> coordinator_;
  std::uint64_t revision_ = 0;
  base::TimePoint nextConfirm_{};
  // When the last call was asked that showed this VM as the coordinator.
  base::TimePoint confirmedAt_{};
  base::TimePoint nextWrite_{};
  bool acquiring_ = false;
  bool confirming_ = false;
  bool writing_ = false;
  bool writeWanted_ = false;
  bool storeReachable_ = true;
  // Orders of an earlier term of the duty don't count in a later one.
  std::uint64_t term_ = 0;
};

} // namespace sycamore::entry

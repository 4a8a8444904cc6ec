#pragma once

#include <entry/ByteCounts.h>
#include <entry/CallClient.h>
#include <entry/EventLog.h>
#include <entry/StoreClient.h>

#include <dispatch/KeyCoordinator.h>
#include <dispatch/OwnershipCopy.h>
#include <dispatch/StoreContact.h>
#include <dispatch/Takeover.h>

#include <functional>
#include <memory>
#include <optional>

namespace sycamore::entry {

// The coordinator's work on this entry VM, while it is the coordinator: executes the decisions of
// KeyCoordinator by calls to servers and conditional writes to the store. Control thread only.
class CoordinatorRole
{
public:
  // Notified of each record that the store has confirmed, and of its changes.
  using RecordConfirmedListener =
    std::function<void(const dispatch::OwnershipRecord&, const dispatch::OwnershipDelta&)>;
  // Notified of another coordinator's record that a takeover attempt has found.
  using OtherCoordinatorListener =
    std::function<void(const dispatch::OwnershipRecord&, std::uint64_t revision)>;

  CoordinatorRole(CallClient& calls,
                  StoreClient& store,
                  EventLog& log,
                  ByteCounts& bytes,
                  const base::DomainId& domain,
                  dispatch::CoordinatorSettings settings,
                  dispatch::Coordinator self,
                  RecordConfirmedListener recordConfirmedListener,
                  OtherCoordinatorListener otherCoordinatorListener);

  // Tries to become the coordinator by a conditional write, unless the record's epoch is higher
  // than `knownEpoch`, which means that another VM has just become the coordinator.
  void tryTakeover(std::uint64_t knownEpoch);

  // Returns whether this VM is the coordinator, as far as it knows.
  bool active() const { return coordinator_ != nullptr; }
  // Returns null unless active.
  dispatch::KeyCoordinator* coordinator() const { return coordinator_.get(); }
  // Returns the revision of the ownership record in the store.
  std::uint64_t revision() const { return revision_; }
  // Returns the number of times that this VM, as coordinator, has spread hot keys.
  std::uint64_t hotSpanSpreads() const { return hotSpanSpreads_; }
  // Returns the number of tokens in answers to releases that were dropped because they can't be
  // passed on.
  std::uint64_t malformedTokens() const { return malformedTokens_; }
  // Returns whether the store has answered recently enough that this VM's watches can be assumed to
  // receive changes.
  bool hasRecentStoreContact(base::TimePoint now) const;
  // Returns the time up to which the store has shown that no other VM is the coordinator.
  base::TimePoint storeContactUntil() const { return storeContact_.recentUntil(); }

  // The store has come back from a copy. A coordinator goes on once it has written its record
  // again; until then nothing that the store answers confirms it.
  void onStoreRestored();

  // Stops acting as the coordinator, since another VM has taken over.
  void resign(const char* reason);

  void tick(base::TimePoint now);

private:
  // The ownership record in the store, empty if there is none.
  struct StoredRecord
  {
    dispatch::OwnershipRecord record;
    std::uint64_t revision = 0;
  };

  // Returns nothing if the answer shows no record.
  std::optional<StoredRecord> readRecord(const StoreAnswer& answer);
  void writeTakeover(const dispatch::Takeover& takeover, std::uint64_t revision, bool isRestored);
  void continueAfterRestoration(base::TimePoint now);
  void onRecordReadForContinuation(const StoreAnswer& answer);
  void onRecordReadForTakeover(const StoreAnswer& answer, std::uint64_t knownEpoch);
  // Returns whether a coordinator was this process, or an earlier one of this VM that has ended.
  bool wasHere(const dispatch::Coordinator& coordinator) const;
  void beginTerm(dispatch::OwnershipRecord record,
                 std::uint64_t revision,
                 base::TimePoint previousCoordinatorsStopAt,
                 base::TimePoint confirmedAt);
  void logSpreads(const std::vector<dispatch::HotSpanSpread>& spreads);
  void writeRecord();
  void onWritten(const StoreAnswer& answer, base::TimePoint sentAt, const std::string& content);
  void requestConfirmation();
  void recordConfirmation(base::TimePoint sentAt);
  void onConfirmationRead(const StoreAnswer& answer, base::TimePoint sentAt);
  // Returns a call to a server, without its body.
  Call callTo(const dispatch::BackendServer& server, std::string path);
  void sendGrant(const dispatch::GrantOrder& order);
  void sendRelease(const dispatch::ReleaseOrder& order);
  void recordToken(const dispatch::ReleaseOrder& order, const dispatch::ReleaseAnswer& answer);

  CallClient& calls_;
  StoreClient& store_;
  EventLog& log_;
  ByteCounts& bytes_;
  base::DomainId domain_;
  dispatch::CoordinatorSettings settings_;
  dispatch::Coordinator self_;
  RecordConfirmedListener recordConfirmedListener_;
  OtherCoordinatorListener otherCoordinatorListener_;
  std::unique_ptr<dispatch::KeyCoordinator> coordinator_;
  std::uint64_t revision_ = 0;
  dispatch::StoreContact storeContact_;
  base::TimePoint nextWriteAt_{};
  bool takeoverPending_ = false;
  // Whether the own record has to be written again, see onStoreRestored().
  bool mustContinue_ = false;
  bool confirmationPending_ = false;
  bool writePending_ = false;
  bool recordChanged_ = false;
  bool storeReachable_ = true;
  // Incremented whenever this VM becomes the coordinator or stops being it, so that answers to
  // calls of an earlier term are ignored.
  std::uint64_t term_ = 0;
  std::uint64_t callsToServers_ = 0;
  std::uint64_t hotSpanSpreads_ = 0;
  std::uint64_t malformedTokens_ = 0;
};

} // namespace sycamore::entry

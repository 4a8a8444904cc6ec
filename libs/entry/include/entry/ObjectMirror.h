#pragma once

#include <entry/EventLog.h>
#include <entry/ObjectChange.h>
#include <entry/StoreClient.h>

#include <dispatch/CopyFreshness.h>
#include <dispatch/DeletedObjects.h>
#include <dispatch/ListPages.h>
#include <dispatch/ReadRetry.h>
#include <dispatch/RelayedCopy.h>
#include <dispatch/RestorationGrace.h>
#include <dispatch/WatchCursor.h>
#include <wire/WireError.h>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace sycamore::entry {

// How a copy reads a change whose messages were lost.
enum class CatchUp
{
  // The changes since its own revision: for many small objects.
  History,
  // The current state: for few objects that may be large. Its size doesn't grow with the number of
  // changes that were missed.
  CurrentState
};

struct MirrorSettings
{
  wire::Kind kind = wire::Kind::Servers;
  CatchUp catchUp = CatchUp::CurrentState;
  // Time after which a watch ends if there are no changes. A watch whose connection has gone silent
  // hides changes until then, and for the time that its answer may take: together with the list
  // that follows, less than the time in which a change has to be in force.
  std::chrono::milliseconds watchDuration{ 750 };
  // Delay between a change and the next watch, so that several changes in quick succession are read
  // with one call.
  std::chrono::milliseconds settleDelay{ 150 };
  // Seed for the jitter of the delays after failures.
  std::uint64_t seed = 0;
};

// Keeps a copy of all objects of one kind: lists them, then follows the changes either by its own
// watches or by the messages of the relaying VM, which watches the store for all VMs. While the
// store can't be reached, the last copy stays in use. If lists fail for a while before their end,
// the pages that they read are used besides. Control thread only.
class ObjectMirror
{
public:
  using Objects = std::map<std::string, wire::StoreObject>;
  using ObjectsChangedListener = std::function<void(const Objects&)>;
  // Notified of each change that this VM has read from the store.
  using ChangeReadListener = std::function<void(const ObjectChange&)>;

  ObjectMirror(asio::io_context& context,
               StoreClient& store,
               EventLog& log,
               MirrorSettings settings,
               ObjectsChangedListener objectsChangedListener,
               ChangeReadListener changeReadListener);

  wire::Kind kind() const { return settings_.kind; }

  void start();

  // Starts watches and reads that are due. `isRelay` states whether this VM relays changes to the
  // others, in which case it always watches. `isStandby`: see RelayedCopy::setStandby().
  void tick(bool isRelay, bool isStandby, base::TimePoint now);

  // Returns whether the copy follows the store by its own watch.
  bool isWatching() const
  {
    return activity_ == Activity::Watching || activity_ == Activity::Settling;
  }
  // Returns whether the other VMs may rely on the copy: it follows the store by its own watch,
  // whose answers show that it lacks no change.
  bool mayRelay(base::TimePoint now) const { return isWatching() && freshness_.isReliable(now); }
  // Returns the revision at which the copy last changed.
  std::uint64_t lastChangeRevision() const { return lastChangeRevision_; }

  // Returns the time for which the copy is known to lack a change, zero if it lacks none.
  base::Duration timeBehind(base::TimePoint now) const { return relayedCopy_.timeBehind(now); }

  // Returns the time since an answer of the store last showed that the copy holds all changes.
  base::Duration age(base::TimePoint now) const { return freshness_.age(now); }

  // Returns the time up to which the copy is shown to hold all changes, by the store's answers to
  // this VM or by what the relaying VM said of its own copy; unset if it never was.
  base::TimePoint currentAt() const { return std::max(freshness_.currentAt(), relayedCurrentAt_); }
  // The relaying VM's copy held all changes up to this time, the last one at this revision.
  void onRelayShownCurrent(std::uint64_t revision, base::TimePoint at);

  // The relaying VM announced that it watches and that its copy last changed at this revision.
  void onRelayAnnouncement(std::uint64_t revision, base::TimePoint now);
  // A coordinator that doesn't watch at the moment was heard.
  void onCoordinatorHeard(base::TimePoint now) { relayedCopy_.onCoordinatorHeard(now); }
  // A part of a change arrived from the relaying VM.
  void onChangePart(const ObjectChange& change);

private:
  enum class Activity
  {
    // No call: the changes arrive by messages.
    Following,
    Listing,
    Watching,
    // The delay between a list or a change and the next watch.
    Settling,
    // Reads the changes since the copy's revision, after a message was lost.
    ReadingHistory,
    // The delay between a failure and the next list.
    AwaitingRetry
  };

  // Lists all objects from the first page on.
  void list();
  void readPage();
  void onPage(const StoreAnswer& answer);
  void onListed();
  // The list can't be read to its end now. `timedOut`: the last call got no answer in time.
  void onListFailure(const char* reason, bool timedOut);
  void adoptList(const char* path);
  Objects objectsWithPages() const;
  void notifyObjectsChanged();
  void watch();
  void onWatch(const StoreAnswer& answer);
  // Records up to which time the answer of a watch shows that the copy holds all changes.
  void recordFreshness(const StoreAnswer& answer, const wire::WatchPage& page);
  bool apply(const wire::WatchEvent& event);
  // Returns whether the copy has the states on which the patches are based.
  bool hasBasisOf(const std::vector<ObjectPatch>& patches) const;
  // Applies the patches of a change all of whose parts have arrived. Returns whether the copy has
  // changed.
  bool applyPendingPatches();
  // Remembers the state that the event replaces, for the difference that is relayed.
  void keepReplaced(const wire::WatchEvent& event);
  void continueWatching(std::chrono::milliseconds delay);
  void publishChange(std::vector<wire::WatchEvent> events, std::uint64_t revision);
  // Logs that the copy has changed, and how long it had been known to lack the change.
  void logUpdate(const char* path, base::Duration behind);
  // Logs that a call went without an answer, and when the store last answered another one.
  void logUnanswered(const char* call, const StoreAnswer& answer);
  void onStoreReached();
  // Logs that this number of objects in an answer were left out.
  void logUnreadable(std::size_t objects);
  void logUnreadable(const wire::WireError& error);
  // `timedOut`: the call got no answer in time.
  void onStoreFailure(bool timedOut);
  void catchUp();
  void readHistory();
  void onHistoryRead(const StoreAnswer& answer, wire::ReadConsistency reading);
  // Logs how a call for a missing change ended.
  void logCatchUp(const StoreAnswer& answer) const;
  void scheduleList(std::chrono::milliseconds delay);

  StoreClient& store_;
  EventLog& log_;
  MirrorSettings settings_;
  ObjectsChangedListener objectsChangedListener_;
  ChangeReadListener changeReadListener_;
  asio::steady_timer timer_;
  std::mt19937_64 random_;
  Objects objects_;
  dispatch::DeletedObjects deletedObjects_;
  // States that the change in progress has replaced, while this VM relays.
  std::map<std::string, wire::StoreObject> replaced_;
  // Patches of the change to revision `patchesRevision_`, by the change's part.
  std::map<unsigned, std::vector<ObjectPatch>> pendingPatches_;
  std::uint64_t patchesRevision_ = 0;
  dispatch::ListPages listPages_;
  // Objects of the pages that the current list has read so far.
  Objects listedObjects_;
  // Objects of the pages that the last incomplete list has read, while lists fail.
  Objects pagesInUse_;
  // Time since which no list was complete, while lists fail.
  std::optional<base::TimePoint> listFailingSince_;
  dispatch::WatchCursor cursor_;
  dispatch::RelayedCopy relayedCopy_;
  dispatch::CopyFreshness freshness_;
  dispatch::RestorationGrace restorationGrace_;
  base::TimePoint relayedCurrentAt_{};
  // Time of the call for the list's first page.
  base::TimePoint listBeganAt_{};
  // Revision of the list's first page. Later pages may be newer; the next watch then returns their
  // changes again.
  std::uint64_t listRevision_ = 0;
  std::uint64_t lastChangeRevision_ = 0;
  // Announced revision for which the store was last read.
  std::uint64_t requestedRevision_ = 0;
  dispatch::ReadRetry retry_;
  bool isRelay_ = false;
  Activity activity_ = Activity::Following;
  // Whether a change couldn't be applied, so that all objects must be listed.
  bool isOutdated_ = false;
  // Whether the last read of the history failed. The history may have grown too long for a call, so
  // that the next read is a list.
  bool historyReadFailed_ = false;
  // Time at which the call in progress began, if it is for a missing change.
  std::optional<base::TimePoint> catchUpBeganAt_;
  // Whether the last call was answered, for the log.
  bool storeReachable_ = true;
};

} // namespace sycamore::entry

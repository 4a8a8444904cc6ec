#pragma once

#include <entry/EventLog.h>
#include <entry/ObjectChange.h>
#include <entry/StoreClient.h>

#include <dispatch/RelayedCopy.h>
#include <dispatch/WatchCursor.h>
#include <wire/WireError.h>

#include <functional>
#include <map>
#include <random>
#include <string>

namespace sycamore::entry {

struct MirrorSettings
{
  wire::Kind kind = wire::Kind::Servers;
  // Length of one watch without changes.
  std::chrono::milliseconds wait{ 4000 };
  // Pause after a change before the next watch, so that changes in quick succession come with one
  // call.
  std::chrono::milliseconds rest{ 150 };
  // For the pauses after failures.
  std::uint64_t seed = 0;
};

// Keeps a copy of all objects of one kind: reads them by list, then follows the changes by watches
// of its own or by the messages of a VM that watches for all. While the store can't be reached it
// keeps what it has. Control thread only.
class ObjectMirror
{
public:
  using Objects = std::map<std::string, wire::StoreObject>;
  using Changed = std::function<void(const Objects&)>;
  // A difference that this VM has read from the store.
  using Found = std::function<void(const ObjectChange&)>;

  ObjectMirror(asio::io_context& context,
               StoreClient& store,
               EventLog& log,
               MirrorSettings settings,
               Changed changed,
               Found found);

  wire::Kind kind() const { return settings_.kind; }

  void start();

  // Time passes: begins or ends watches and repeats reads. A relaying VM always watches.
  void tick(bool relays, base::TimePoint now);

  // Whether the copy follows the store by a watch of its own.
  bool watching() const { return watching_ && reachable_; }
  // Revision of the last difference.
  std::uint64_t changedAt() const { return changedAt_; }

  // The relaying VM watches, and its copy last changed at this revision.
  void noteRelay(std::uint64_t revision, base::TimePoint now);
  // A message of the relaying VM.
  void noteChange(const ObjectChange& change);

private:
  void list(const std::string& after);
  void onList(const StoreAnswer& answer);
  void adoptList();
  void watch();
  void onWatch(const StoreAnswer& answer);
  bool apply(const wire::WatchEvent& event);
  void follow(std::chrono::milliseconds pause);
  void report(std::vector<wire::WatchEvent> events, std::uint64_t revision);
  void noteReached();
  void onUnreadable(const wire::WireError& error);
  void retry();
  void catchUp();
  void onCaughtUp(const StoreAnswer& answer, wire::ReadConsistency reading);
  void listAfter(std::chrono::milliseconds pause);

  StoreClient& store_;
  EventLog& log_;
  MirrorSettings settings_;
  Changed changed_;
  Found found_;
  asio::steady_timer timer_;
  std::mt19937_64 random_;
  Objects objects_;
  // Objects of the pages of a list so far.
  Objects listed_;
  dispatch::WatchCursor cursor_;
  dispatch::RelayedCopy copy_;
  // Revision of the first page: later pages may be newer, and their changes are seen again.
  std::uint64_t listRevision_ = 0;
  std::uint64_t changedAt_ = 0;
  // The announced revision for which the store was last asked.
  std::uint64_t askedFor_ = 0;
  unsigned failures_ = 0;
  bool relays_ = false;
  // Whether a call or a pause before one is under way.
  bool busy_ = false;
  bool watching_ = false;
  bool reachable_ = true;
};

} // namespace sycamore::entry

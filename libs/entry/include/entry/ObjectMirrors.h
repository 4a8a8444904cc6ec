#pragma once

#include <entry/ObjectMirror.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace sycamore::entry {

// The copies of all kinds of objects that entry VMs follow in the store: the configuration, the
// servers and the domains out of service. Results and arguments with one value for each copy are in
// this order. Control thread only.
class ObjectMirrors
{
public:
  static constexpr std::size_t kKinds = 3;

  struct Listeners
  {
    ObjectMirror::ObjectsChangedListener configuration;
    ObjectMirror::ObjectsChangedListener servers;
    ObjectMirror::ObjectsChangedListener domainsOut;
    // Notified of each change of any kind that this VM has read from the store.
    ObjectMirror::ChangeReadListener changeRead;
  };

  // `run` is a random number from which the seeds of the copies are derived. `store` and `log` have
  // to outlive this object.
  ObjectMirrors(asio::io_context& context,
                StoreClient& store,
                EventLog& log,
                std::uint64_t run,
                const Listeners& listeners);

  ObjectMirrors(const ObjectMirrors&) = delete;
  ObjectMirrors& operator=(const ObjectMirrors&) = delete;

  void start();

  // Starts watches and reads that are due, see ObjectMirror::tick().
  void tick(bool isRelay, bool isStandby, base::TimePoint now);

  // Returns whether all copies follow the store by their own watches.
  bool areWatching() const;
  // Returns whether the other VMs may rely on all copies, see ObjectMirror::mayRelay().
  bool mayRelay(base::TimePoint now) const;
  // Returns the revision at which each copy last changed.
  std::vector<std::uint64_t> lastChangeRevisions() const;

  // Returns the time for which each copy is known to lack a change, in seconds.
  std::array<double, kKinds> secondsBehind(base::TimePoint now) const;
  // Returns the time since the store last showed that each copy holds all changes, in seconds.
  std::array<double, kKinds> secondsSinceCurrent(base::TimePoint now) const;

  // Returns the time up to which the copy of the configuration is shown to hold all changes; unset
  // if it never was.
  base::TimePoint configurationCurrentAt() const { return configuration_.currentAt(); }
  // The relaying VM's copy of the configuration held all changes up to this time, the last one at
  // this revision.
  void onConfigurationShownCurrent(std::uint64_t revision, base::TimePoint at)
  {
    configuration_.onRelayShownCurrent(revision, at);
  }

  // The coordinator was heard. `isRelay` states whether it watches the store for all VMs;
  // `lastChangeRevisions` are those of its copies.
  void onCoordinatorHeard(bool isRelay,
                          const std::vector<std::uint64_t>& lastChangeRevisions,
                          base::TimePoint now);
  // A part of a change arrived from the relaying VM.
  void onChangePart(const ObjectChange& change);

private:
  ObjectMirror configuration_;
  ObjectMirror servers_;
  ObjectMirror domainsOut_;
  std::array<ObjectMirror*, kKinds> all_;
};

} // namespace sycamore::entry

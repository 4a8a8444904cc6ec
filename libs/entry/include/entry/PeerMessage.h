#pragma once

#include <entry/ObjectChange.h>

#include <dispatch/CoordinatorElection.h>
#include <dispatch/KeyRates.h>
#include <dispatch/OwnershipCopy.h>
#include <dispatch/WorkMean.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamore::entry {

// A server connection that broke under a request, see CrashSuspects.
struct ConnectionBreak
{
  std::uint64_t digest = 0;
  std::string serverIncarnation;

  bool operator==(const ConnectionBreak&) const = default;
};

// From the coordinator to every other entry VM, several times a second.
struct BeatMessage
{
  dispatch::CoordinatorHeartbeat beat;
  // The receiver's place in the order of succession, and the number of live entry VMs.
  unsigned rank = 0;
  unsigned entryVms = 1;
  // Revision of the ownership record.
  std::uint64_t revision = 0;
  std::vector<ConnectionBreak> breaks;
  // Whether it watches the store for all, and the revision at which each watched kind last changed.
  bool relays = false;
  std::vector<std::uint64_t> changedAt;
};

// From every entry VM to the coordinator.
struct ReportMessage
{
  base::VmId vm;
  std::uint64_t run = 0;
  // Processor cores that its process may use.
  double capacity = 1;
  std::map<base::ServiceId, dispatch::KeyCounts> keys;
  std::map<base::ServerId, dispatch::WorkSample> work;
  std::vector<ConnectionBreak> breaks;
  // The process is about to end.
  bool leaving = false;
};

// From a coordinator that has been replaced to its successor: it grants no more.
struct StoppedMessage
{
  std::uint64_t epoch = 0;
  // How much longer coordinators before it may grant.
  base::Duration othersRemain{};
};

// From the coordinator to every other entry VM, after each change of the ownership record.
struct DeltaMessage
{
  dispatch::OwnershipDelta delta;
};

// From the coordinator to every other entry VM, after each change of objects that it watches.
struct ChangeMessage
{
  ObjectChange change;
};

using PeerMessage =
  std::variant<BeatMessage, ReportMessage, StoppedMessage, DeltaMessage, ChangeMessage>;

// A datagram for a message, and back; nothing if the bytes are no message.
std::string encodePeerMessage(const PeerMessage& message);
std::optional<PeerMessage> decodePeerMessage(const std::string& bytes);

} // namespace sycamore::entry

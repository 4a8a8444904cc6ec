#pragma once

#include <base/Ids.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sycamore::dispatch {

// Keys of keyed services are numbers from 0 to kLastKey.
using KeyNumber = std::uint16_t;
inline constexpr KeyNumber kLastKey = 65535;

// A range of consecutive keys, both ends included, and the server incarnation that owns it. The
// owner is empty if any server may hold the keys.
struct KeyRange
{
  KeyNumber from = 0;
  KeyNumber to = 0;
  base::ServerId owner;
  // Start of the owner's incarnation in Unix milliseconds, see BackendServer::born.
  std::int64_t born = 0;
  // Fencing token of the owner's grant. Higher than that of every previous owner of these keys.
  std::uint64_t fence = 0;

  bool operator==(const KeyRange&) const = default;
};

// Ranges of one service, sorted, without gaps or overlaps.
using KeyRanges = std::vector<KeyRange>;

// The entry VM that grants keys.
struct Coordinator
{
  base::VmId vm;
  // Random number that identifies this run of its process.
  std::uint64_t run = 0;
  // IP address for messages between entry VMs.
  std::string address;

  bool operator==(const Coordinator&) const = default;
};

// The durable record of ownership: which entry VM grants keys and which server owns which keys. It
// is changed only by conditional writes.
struct OwnershipRecord
{
  // Incremented with each change of the coordinator.
  std::uint64_t epoch = 0;
  Coordinator coordinator;
  // Whether no previous coordinator could still grant keys at the time of the last write.
  bool previousCoordinatorsStopped = false;
  // Era of the store in which the last coordinator took over, see revisionInEra(), and the lowest
  // fencing token of a next owner: above all that were given in the eras before.
  std::uint64_t era = 0;
  std::uint64_t fenceFloor = 0;
  // Whether servers may hold keys that the record doesn't give them, by records that the store has
  // lost. No key gets a next owner before all grants of that time have expired.
  bool mayLackOwners = false;
  std::map<base::ServiceId, KeyRanges> services;
};

// Returns the range that contains a key; null if there is none.
const KeyRange* findRange(const KeyRanges& ranges, KeyNumber key);

// Merges adjacent ranges that have the same owner and fencing token.
void mergeAdjacentRanges(KeyRanges& ranges);

// Splits the range that contains `at` so that a range begins there.
void splitRange(KeyRanges& ranges, KeyNumber at);

// Convert a record to JSON text and back. The latter throws base::Error if the text isn't a record.
std::string writeOwnershipRecord(const OwnershipRecord& record);
OwnershipRecord readOwnershipRecord(const std::string& text);

} // namespace sycamore::dispatch

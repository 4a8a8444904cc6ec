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

// A run of keys and the server life that owns it.
struct KeyRange
{
  KeyNumber from = 0;
  KeyNumber to = 0;
  base::ServerId owner;
  // Start of the owner's life in Unix milliseconds, see BackendServer::born.
  std::int64_t born = 0;
  // Fencing token of the owner's grant. Higher than that of every earlier owner of these keys.
  std::uint64_t fence = 0;

  bool operator==(const KeyRange&) const = default;
};

// Ranges of one service, sorted, without gaps or overlaps.
using KeyRanges = std::vector<KeyRange>;

// The entry VM that grants keys.
struct Coordinator
{
  base::VmId vm;
  // Random number of its process run.
  std::uint64_t run = 0;
  // IP address for messages between entry VMs.
  std::string address;

  bool operator==(const Coordinator&) const = default;
};

// Who grants keys and which server owns which keys: the one durable record of ownership. It is
// changed only by conditional writes.
struct OwnershipRecord
{
  // One more with each change of the coordinator.
  std::uint64_t epoch = 0;
  Coordinator coordinator;
  // Whether no coordinator before this one can still grant keys, as of the last write.
  bool previousCoordinatorsStopped = false;
  std::map<base::ServiceId, KeyRanges> services;
};

// The range that contains a key; null if there is none.
const KeyRange* findRange(const KeyRanges& ranges, KeyNumber key);

// Joins neighbours that have the same owner and fence.
void mergeAdjacentRanges(KeyRanges& ranges);

// Cuts the range that contains `at` so that one begins there.
void splitRange(KeyRanges& ranges, KeyNumber at);

// JSON text of a record, and back. The latter throws base::Error if the text isn't a record.
std::string writeOwnershipRecord(const OwnershipRecord& record);
OwnershipRecord readOwnershipRecord(const std::string& text);

} // namespace sycamore::dispatch

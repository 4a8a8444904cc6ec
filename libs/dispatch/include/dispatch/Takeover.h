#pragma once

#include <dispatch/OwnershipRecord.h>

#include <cstdint>

namespace sycamore::dispatch {

// The record by which an entry VM becomes the coordinator, see planTakeover().
struct Takeover
{
  OwnershipRecord record;
  // Whether no other process could be granting keys.
  bool haveOthersStopped = false;
};

// Returns whether a record was written before the store came back from a copy in this era. Owners
// that the record names may have changed since, by writes that the copy lacks. A store without a
// record in its first eras has never had one.
bool isFromBeforeRestoration(const OwnershipRecord& stored, std::uint64_t era);

// Plans the takeover by a VM that isn't the coordinator. `stored` is the record in the store, empty
// if there is none; `era` that of the store; `knownEpoch` the highest of a coordinator that the VM
// has heard of; `isFormerProcessHere` whether the record's coordinator is an earlier process of
// this VM that has ended. After a restoration the record names no owners: any server may hold any
// key until all grants have expired.
Takeover planTakeover(const OwnershipRecord& stored,
                      std::uint64_t era,
                      std::uint64_t knownEpoch,
                      const Coordinator& self,
                      bool isFormerProcessHere);

// Plans how the coordinator goes on after a restoration, by the last record that the store had
// confirmed to it, which must have been within the confirmation timeout: another VM that took over
// meanwhile can't have taken keys from servers that run yet. It may have given away others.
Takeover planContinuation(const OwnershipRecord& own,
                          const OwnershipRecord& stored,
                          std::uint64_t era);

} // namespace sycamore::dispatch

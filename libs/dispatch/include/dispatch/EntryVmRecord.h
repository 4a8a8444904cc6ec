#pragma once

#include <base/Ids.h>

#include <cstddef>
#include <string>
#include <vector>

namespace sycamore::dispatch {

// Record that an entry VM registers in the store so that the other entry VMs can find it.
struct EntryVmRecord
{
  std::string address;
  base::DomainId domain;
  // Processor cores that its process may use.
  double capacity = 1;

  bool operator==(const EntryVmRecord&) const = default;
};

std::string writeEntryVmRecord(const EntryVmRecord& record);
// Throws std::invalid_argument if the text isn't a record.
EntryVmRecord readEntryVmRecord(const std::string& text);

// An entry VM that could become the coordinator.
struct Candidate
{
  base::VmId vm;
  double capacity = 1;
};

// Sorts by succession order. The coordinator serves all VMs, so those with the most processor
// capacity come first; equal ones are ordered by name.
void sortBySuccession(std::vector<Candidate>& candidates);

// Returns whether a coordinator with capacity `ownCapacity` should hand over to the candidate.
// Small differences in capacity don't justify a handover.
bool isWorthHandover(double ownCapacity, const Candidate& candidate);

} // namespace sycamore::dispatch

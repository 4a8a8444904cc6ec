#pragma once

#include <base/Ids.h>

#include <cstddef>
#include <string>
#include <vector>

namespace sycamore::dispatch {

// What an entry VM registers of itself in the store, for the others to find it.
struct EntryVmRecord
{
  std::string address;
  // Processor cores that its process may use.
  double capacity = 1;

  bool operator==(const EntryVmRecord&) const = default;
};

std::string writeEntryVmRecord(const EntryVmRecord& record);
// Throws std::invalid_argument if the text is no record.
EntryVmRecord readEntryVmRecord(const std::string& text);

// An entry VM that could become the coordinator.
struct Candidate
{
  base::VmId vm;
  double capacity = 1;
};

// Sorts by succession: the coordinator works for all, so the VMs with most processor come first.
void sortBySuccession(std::vector<Candidate>& candidates);

// Whether a coordinator with this capacity should hand its duty over to the candidate. Small
// differences aren't worth a handover.
bool isWorthHandover(double own, const Candidate& candidate);

} // namespace sycamore::dispatch

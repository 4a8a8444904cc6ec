#pragma once

#include "ServerJournal.h"

#include <map>
#include <string>
#include <vector>

namespace sycamore::soak {

struct LifeJournal
{
  // Id and time of start of the server's life.
  std::string name;
  std::string id;
  // Number of its address.
  int address = 0;
  std::vector<JournalEntry> entries;
  // End of its process, or of the run.
  Nanoseconds endedAt = 0;
};

// Times when a paused VM was resumed, by the VM's address.
using Resumptions = std::map<std::string, std::vector<Nanoseconds>>;

struct OwnershipReport
{
  // Texts of the broken rules, at most one for each rule and pair of lives.
  std::vector<std::string> violations;
  std::size_t grants = 0;
  std::size_t releases = 0;
  std::size_t works = 0;
  std::size_t heldUpGrants = 0;
  // Changes of a key's owner, counted over ranges of keys.
  std::size_t ownerChanges = 0;
  // Longest time for which two lives held a key.
  Nanoseconds longestOverlap = 0;
};

// Compares the journals of all servers: no key may have two owners for more than half a second, or
// two owners that begin work on it, and no owner may get a key on which another still works under
// its lease or with a fencing token that isn't above those of the others.
OwnershipReport checkOwnership(const std::vector<LifeJournal>& lives,
                               const Resumptions& resumptions,
                               Nanoseconds runBeganAt);

} // namespace sycamore::soak

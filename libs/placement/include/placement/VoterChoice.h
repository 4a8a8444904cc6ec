#pragma once

#include <base/Ids.h>
#include <placement/EntryVm.h>

#include <span>
#include <vector>

namespace sycamore::placement {

// Where the voters of a server live (docs/design.md, section 4, configuration "votes"). Hold:
// inside the server's failure domain, which serves its keys when cut off. Move: in three domains,
// so that the keys move out of a domain that is cut off.
enum class VoterMode
{
  Hold,
  Move
};

// The voters of a server in order of preference, by rendezvous hashing over the live entry VMs.
// Current voters stay if they are live and their place suits the mode; with fewer than three live
// VMs, current voters that are not live stay too, because they may return. Returns less than three
// only when fewer VMs are known. Returns `current` unchanged when nothing must be replaced.
std::vector<base::VmId> chooseVoters(const base::ServerId& server,
                                     const base::DomainId& domain,
                                     VoterMode mode,
                                     std::span<const base::VmId> current,
                                     std::span<const EntryVm> entryVms);

} // namespace sycamore::placement

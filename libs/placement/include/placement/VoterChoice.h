#pragma once

#include <base/Ids.h>
#include <placement/EntryVm.h>

#include <span>
#include <vector>

namespace sycamore::placement {

// Failure domains of the voters of a server (docs/design.md, section 4, configuration "votes").
// Hold: the server's own domain, so that the domain serves the server's keys when it is cut off.
// Move: three domains, so that the keys move out of a domain that is cut off.
enum class VoterMode
{
  Hold,
  Move
};

// Returns the voters of a server in order of preference, chosen by rendezvous hashing among the
// live entry VMs. Current voters stay if they are live and their failure domains suit the mode;
// with fewer than three live VMs, current voters that are not live stay too, because they may
// return. Returns fewer than three only if fewer VMs are known. Returns `current` unchanged if no
// voter must be replaced.
std::vector<base::VmId> chooseVoters(const base::ServerId& server,
                                     const base::DomainId& domain,
                                     VoterMode mode,
                                     std::span<const base::VmId> current,
                                     std::span<const EntryVm> entryVms);

} // namespace sycamore::placement

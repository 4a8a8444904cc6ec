#pragma once

#include <base/Ids.h>

namespace sycamore::ownership {

// An incarnation of an entry VM's process. A restarted VM is another holder: it has lost the record
// of the grants and floors of its previous incarnation, so it must not continue that one's term.
struct HolderId
{
  base::VmId vm;
  base::Incarnation incarnation;

  friend bool operator==(const HolderId&, const HolderId&) = default;
};

} // namespace sycamore::ownership

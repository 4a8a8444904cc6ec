#pragma once

#include <base/Ids.h>

namespace sycamore::ownership {

// A run of an entry VM's process. A restarted VM is another holder: it has forgotten which grants
// and floors it was responsible for, so it must not continue the term of its predecessor.
struct HolderId
{
  base::VmId vm;
  base::Incarnation incarnation;

  friend bool operator==(const HolderId&, const HolderId&) = default;
};

} // namespace sycamore::ownership

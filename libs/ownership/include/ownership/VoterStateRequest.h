#pragma once

#include <base/Ids.h>

#include <cstdint>

namespace sycamore::ownership {

// A restarted voter asks another voter of a server for what it has forgotten.
struct VoterStateRequest
{
  base::ServerId server;
  base::VmId to;
  base::VmId from;
  base::Incarnation fromIncarnation;
  // Echoed; answers to earlier rounds don't count.
  std::uint64_t round = 0;
};

} // namespace sycamore::ownership

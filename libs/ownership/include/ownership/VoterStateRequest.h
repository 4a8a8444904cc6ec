#pragma once

#include <base/Ids.h>

#include <cstdint>

namespace sycamore::ownership {

// Sent by a restarted voter to another voter of a server, to recover the state that it has lost.
struct VoterStateRequest
{
  base::ServerId server;
  base::VmId to;
  base::VmId from;
  base::Incarnation fromIncarnation;
  // Echoed by the reply; replies to previous rounds are ignored.
  std::uint64_t round = 0;
};

} // namespace sycamore::ownership

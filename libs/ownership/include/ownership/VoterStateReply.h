#pragma once

#include <base/Ids.h>
#include <ownership/HolderId.h>
#include <ownership/LeaseKind.h>

#include <cstdint>

namespace sycamore::ownership {

// Answers a VoterStateRequest. If known is false, the answering voter has not recovered its own
// state yet.
struct VoterStateReply
{
  base::ServerId server;
  base::VmId from;
  base::VmId to;
  base::Incarnation toIncarnation;
  std::uint64_t round = 0;
  bool known = false;
  base::Term term;
  HolderId holder;
  LeaseKind kind = LeaseKind::Active;
  base::Generation rowGeneration;
  base::Generation floor;
};

} // namespace sycamore::ownership

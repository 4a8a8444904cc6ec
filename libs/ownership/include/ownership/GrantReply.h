#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <ownership/GrantReason.h>

namespace sycamore::ownership {

// Answers a GrantRequest, whether it was accepted or refused.
struct GrantReply
{
  base::ServerId server;
  // Term of the request.
  base::Term term;
  bool accepted = false;
  GrantReason reason = GrantReason::Accepted;
  base::TimePoint serverTime;
  base::Incarnation incarnation;
  base::Term highestTerm;
};

} // namespace sycamore::ownership

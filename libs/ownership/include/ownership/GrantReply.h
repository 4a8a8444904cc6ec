#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <ownership/GrantReason.h>

namespace sycamore::ownership {

// Answers a GrantRequest; sent for refusals, too.
struct GrantReply
{
  base::ServerId server;
  // The term of the request.
  base::Term term;
  bool accepted = false;
  GrantReason reason = GrantReason::Accepted;
  base::TimePoint serverTime;
  base::Incarnation incarnation;
  base::Term highestTerm;
};

} // namespace sycamore::ownership

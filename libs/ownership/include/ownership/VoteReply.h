#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <ownership/HolderId.h>
#include <ownership/LeaseKind.h>
#include <ownership/VoteAnswer.h>

namespace sycamore::ownership {

// Answers a VoteRequest. The fields up to askedAt repeat the request.
struct VoteReply
{
  base::ServerId server;
  HolderId holder;
  base::Term term;
  LeaseKind kind = LeaseKind::Active;
  base::TimePoint askedAt;

  base::VmId voter;
  base::Incarnation voterIncarnation;
  VoteAnswer answer = VoteAnswer::Granted;
  base::Term highestTerm;
  LeaseKind currentKind = LeaseKind::Active;
  base::Generation currentRowGeneration;
  base::Generation floor;
  // Granted: remaining lifetime of the vote for a previous term, negative if it has lapsed.
  // MustWait: time to wait before the next request, counted from the reply.
  base::Duration remaining{};
};

} // namespace sycamore::ownership

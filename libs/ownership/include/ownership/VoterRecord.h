#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <ownership/HolderId.h>
#include <ownership/LeaseKind.h>

#include <cstdint>
#include <map>
#include <vector>

namespace sycamore::ownership {

// What a voter knows of one server's tenancy.
struct VoterRecord
{
  base::Term term;
  HolderId holder;
  LeaseKind kind = LeaseKind::Active;
  base::Generation rowGeneration;
  base::Generation floor;
  // No vote of this VM is valid after this, on any clock.
  base::TimePoint until;
  // The same of the votes for terms before this one.
  base::TimePoint earlierUntil;
  bool resigned = false;
  bool learned = false;
  // Relearning: the peers that have answered the current round, with the highest values seen.
  std::uint64_t learnRound = 0;
  base::Generation wantedGeneration;
  base::TimePoint nextLearn;
  std::vector<base::VmId> peers;
  std::vector<base::VmId> answered;
};

} // namespace sycamore::ownership

#pragma once

#include <base/Time.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sycamore::dispatch {

// Time by which the model of ownership advances at once.
inline constexpr base::Duration kModelStep = base::milliseconds(20);

// Kinds of events beyond the basic ones of OwnershipModel. Each can be drawn alone.
enum class OwnershipDraw
{
  // A server starts again under its id at another address, while its earlier life still holds keys
  // and works for seconds.
  LaterLife,
  // The answer to the write of a takeover is handled up to 6 s after the write took effect. The
  // coordinator may lose the store right after, and others take over meanwhile.
  LateTakeover,
  // Another process with the name of the coordinator's VM takes over: at another address, while the
  // coordinator goes on, or at the same one after the coordinator's process was killed.
  SameVmName,
  // Takeovers within seconds among few processes, whose terms end with a report that arrives, is
  // late or is lost, or that go on.
  SeriesOfTerms,
  // A process ends its term and takes over again, while its predecessor's report is late.
  SecondTerm,
  // A release that is sent again is answered at once by a server that has nothing left to stop.
  SecondReleaseAtOnce,
  // A copy of an earlier answer comes on a grant's connection, and the grant itself is carried out
  // and answered up to 3 s later.
  CopiedGrantAnswer,
  // Answers on kept connections that aren't the call's own and that count as no answer.
  ForeignAnswer,
  // A server that still runs answers a grant as if it were another server.
  UntrueEnd,
  // Grants are often carried out late, while ranges are often split, merged and moved.
  LateGrant,
  // Writes to the store, also those of takeovers, take effect 1 to 6 s late without an answer, and
  // are sent again.
  LateWrite,
  // A cut separates a coordinator and some servers from its successor and the others.
  Cut,
  // The store comes back from a copy that is 0.1 to 10 s old, and gives revisions out again.
  RestoredStore,
  // Servers are busy for up to 3 s and read new connections late, also calls that were given up
  // meanwhile.
  LateRead,
  // A coordinator handles answers and timeouts up to 1 s late, and then resets connections late
  // too.
  LateHandling,
  // Dozens of servers, and hot keys that are spread over many of them and merged again.
  LargeFleet
};

using OwnershipDraws = std::set<OwnershipDraw>;

struct NamedOwnershipDraw
{
  OwnershipDraw draw;
  std::string name;
};

inline const std::vector<NamedOwnershipDraw>& allOwnershipDraws()
{
  static const std::vector<NamedOwnershipDraw> draws{
    { OwnershipDraw::LaterLife, "later-life" },
    { OwnershipDraw::LateTakeover, "late-takeover" },
    { OwnershipDraw::SameVmName, "same-vm-name" },
    { OwnershipDraw::SeriesOfTerms, "series-of-terms" },
    { OwnershipDraw::SecondTerm, "second-term" },
    { OwnershipDraw::SecondReleaseAtOnce, "second-release-at-once" },
    { OwnershipDraw::CopiedGrantAnswer, "copied-grant-answer" },
    { OwnershipDraw::ForeignAnswer, "foreign-answer" },
    { OwnershipDraw::UntrueEnd, "untrue-end" },
    { OwnershipDraw::LateGrant, "late-grant" },
    { OwnershipDraw::LateWrite, "late-write" },
    { OwnershipDraw::Cut, "cut" },
    { OwnershipDraw::RestoredStore, "restored-store" },
    { OwnershipDraw::LateRead, "late-read" },
    { OwnershipDraw::LateHandling, "late-handling" },
    { OwnershipDraw::LargeFleet, "large-fleet" },
  };
  return draws;
}

// Returns the kinds that the platform's pages allow. The others are drawn in trials only: a server
// answers a release only when its work on the keys has ended, and it isn't answered for at its
// address while it runs.
inline OwnershipDraws allowedOwnershipDraws()
{
  OwnershipDraws result;
  for (const NamedOwnershipDraw& named : allOwnershipDraws()) {
    result.insert(named.draw);
  }
  result.erase(OwnershipDraw::SecondReleaseAtOnce);
  result.erase(OwnershipDraw::UntrueEnd);
  return result;
}

// A fault that is put into the model on purpose, to show that the checks see it.
enum class DeliberateFault
{
  None,
  // The coordinator isn't told of grants that got no answer.
  UnansweredGrantsForgotten,
  // Grants to new owners carry the previous owner's fencing token.
  FenceNotRaised,
  // A release counts as answered when it arrives, although the server still works on the keys.
  ReleaseAnsweredEarly,
  // A coordinator waits for its predecessors for 1 s.
  ShortWaitForPredecessors,
  // Every 200 to a release counts as the release's own answer.
  AnyAnswerEndsRelease,
  // The lifetime of a grant counts from its sending instead of its answer.
  GrantCountedFromSending,
  // A 421 on a kept connection, which may belong to an earlier call, counts as the server's end.
  EveryMisdirectionEndsServer,
  // A takeover counts as confirmed at the time at which its answer is handled.
  TakeoverCountedFromAnswer,
  // A process takes every process of its VM's name for an earlier one that has ended.
  VmNameTakenForProcess,
  // A process that finds itself named in the record begins another term in the same epoch.
  TermsShareEpoch,
  // A copy of an earlier answer counts as a grant's own.
  CopiedAnswerAccepted,
  // A takeover after a restoration relies on the owners that the record names.
  RestoredRecordTrusted,
  // A former coordinator goes on after a restoration, however long ago the store confirmed it.
  ContinuedWithoutConfirmation,
  // Grants are written to new connections at once, without an opening call that the server has to
  // answer first.
  GrantsOnUnreadConnections
};

// Random draws that follow from a seed.
class RandomDraws
{
public:
  explicit RandomDraws(std::uint64_t seed)
    : engine_(seed)
  {
  }

  // Returns true as often per second of the model's time as told.
  bool chance(double perSecond)
  {
    return probably(perSecond * std::chrono::duration<double>(kModelStep).count());
  }

  bool probably(double probability)
  {
    return std::uniform_real_distribution<double>(0, 1)(engine_) < probability;
  }

  base::Duration between(double minSeconds, double maxSeconds)
  {
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(
      std::uniform_real_distribution<double>(minSeconds, maxSeconds)(engine_)));
  }

  std::size_t below(std::size_t count) { return engine_() % count; }

private:
  std::mt19937_64 engine_;
};

// What all parts of one play share.
struct OwnershipPlay
{
  bool draws(OwnershipDraw draw) const { return kinds.contains(draw); }

  OwnershipDraws kinds;
  DeliberateFault fault = DeliberateFault::None;
  // The draws of the basic events, which are the same whatever kinds are drawn besides as long as
  // these change nothing, and those of the other kinds.
  RandomDraws basic;
  RandomDraws extra;
  base::ManualClock clock;
  bool isCalm = false;
};

} // namespace sycamore::dispatch

#pragma once

#include "FaultProxy.h"

// Faults of calls that a run draws.
namespace sycamore::soak {

inline const std::set<CallKind> kServerCalls{ CallKind::Grant, CallKind::Release, CallKind::Work };
inline const std::set<CallKind> kOwnershipCalls{ CallKind::Grant, CallKind::Release };
inline const std::set<CallKind> kGrants{ CallKind::Grant };
inline const std::set<CallKind> kReleases{ CallKind::Release };
inline const std::set<CallKind> kStoreCalls{ CallKind::Read, CallKind::Write };
inline const std::set<CallKind> kWrites{ CallKind::Write };

struct CallFaultPart
{
  CallFault fault;
  std::set<CallKind> kinds;
  // Share of the calls: drawn between these.
  double minShare;
  double maxShare;
  double minSeconds = 0;
  double maxSeconds = 0;
};

// Faults of calls that come together, to the same server or to the store.
struct CallFaults
{
  const char* name;
  bool isStore;
  double maxTime;
  std::vector<CallFaultPart> parts;
};

inline const std::vector<CallFaults>& callFaults()
{
  using enum CallFault;
  static const std::vector<CallFaults> all{
    { "calls held up", false, 6, { { HoldCall, kOwnershipCalls, 0.1, 1, 0.1, 1 } } },
    { "calls held up for long", false, 6, { { HoldCall, kServerCalls, 0.1, 1, 0.1, 12 } } },
    { "answers held up", false, 6, { { HoldAnswer, kServerCalls, 0.1, 1, 0.1, 1 } } },
    { "answers held up for long", false, 6, { { HoldAnswer, kOwnershipCalls, 0.1, 1, 0.1, 12 } } },
    { "cut towards servers", false, 6, { { DropCall, kServerCalls, 1, 1 } } },
    { "cut from servers", false, 6, { { DropAnswer, kServerCalls, 1, 1 } } },
    { "resets",
      false,
      5,
      { { ResetCall, kServerCalls, 0.1, 0.4 }, { ResetAnswer, kServerCalls, 0.1, 0.6 } } },
    { "lost answers", false, 5, { { DropAnswer, kOwnershipCalls, 0.2, 0.9 } } },
    { "lost answers to releases", false, 6, { { DropAnswer, kReleases, 0.3, 0.9 } } },
    { "copies of answers", false, 6, { { CopyAnswer, kServerCalls, 0.2, 1 } } },
    { "spoilt answers",
      false,
      6,
      { { StrayAnswer, kOwnershipCalls, 0.1, 0.5 }, { SpoilAnswer, kOwnershipCalls, 0.1, 0.5 } } },
    { "spoilt answers to releases", false, 6, { { SpoilAnswer, kReleases, 0.3, 1 } } },
    // Calls that arrive when their sender has just given up.
    { "calls held up for the timeout",
      false,
      8,
      { { HoldCall, kOwnershipCalls, 1, 1, 0.28, 0.35 } } },
    { "late grants", false, 8, { { ApplyLate, kGrants, 0.1, 1, 2, 2.7 } } },
    { "late grants and copies",
      false,
      8,
      { { ApplyLate, kGrants, 0.2, 0.4, 1, 2.2 }, { CopyAnswer, kGrants, 0.5, 1 } } },
    { "busy store", true, 5, { { Busy, kStoreCalls, 0.3, 1, 0, 1 } } },
    { "silent store", true, 6, { { DropCall, kStoreCalls, 0.3, 1.2 } } },
    { "lost answers of the store", true, 6, { { DropAnswer, kStoreCalls, 0.3, 1.2 } } },
    { "late writes", true, 6, { { HoldCall, kWrites, 0.2, 1, 1, 6 } } },
  };
  return all;
}

} // namespace sycamore::soak

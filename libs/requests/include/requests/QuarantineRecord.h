#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <requests/WallTime.h>

#include <string>
#include <vector>

namespace sycamore::requests {

// One crash of a backend server while a subject was in flight on it.
struct CrashEvidence
{
  base::ServerId server;
  base::Incarnation incarnation;
  base::DomainId domain;
  // No other subject was in flight: the crash is this subject's.
  bool ranAlone = false;
  // Orders crashes against lifts across entry VMs.
  WallTime timestamp;
  // On the wire it is the remaining time.
  base::TimePoint expiresAt;
};

// What an entry VM knows of one subject ("id:..." or "work:..."). Records of two entry VMs merge
// into the union of their evidence newer than the later clearedAt, in any order and any number of
// times.
struct QuarantineRecord
{
  std::string subject;
  std::vector<CrashEvidence> evidence;
  // Evidence up to this stamp is void: an operator lifted the verdict, or the subject completed.
  WallTime clearedAt{};
  base::TimePoint clearanceExpiresAt{};
};

} // namespace sycamore::requests

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
  // Whether all requests in flight were of this subject, so that it caused the crash.
  bool ranAlone = false;
  // Orders crashes against lifts across entry VMs.
  WallTime timestamp;
  // Sent to peers as the remaining time.
  base::TimePoint expiresAt;
};

// Evidence of an entry VM about one subject ("id:..." or "work:..."). The records of two entry VMs
// merge into the union of their evidence newer than the later clearedAt; merging is commutative and
// idempotent.
struct QuarantineRecord
{
  std::string subject;
  std::vector<CrashEvidence> evidence;
  // Evidence up to this timestamp is void: an operator lifted the quarantine, or a request of the
  // subject completed.
  WallTime clearedAt{};
  base::TimePoint clearanceExpiresAt{};
};

} // namespace sycamore::requests

#pragma once

#include <base/Ids.h>
#include <base/Time.h>
#include <requests/QuarantineRecord.h>
#include <requests/WallTime.h>
#include <requests/WorkIdentity.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamore::requests {

struct QuarantineSettings
{
  // Crashed servers after which a subject is refused, in one failure domain or over several.
  std::size_t crashThreshold = 2;
  // Life of crash evidence. A verdict ends when too little live evidence is left; the subject then
  // runs alone again.
  base::Duration evidenceRetention = std::chrono::minutes(10);
  // Most subjects remembered. Beyond it the oldest that are not condemned are forgotten.
  std::size_t maxSubjects = 4096;
};

// How a request is to be treated.
enum class QuarantineDecision
{
  Run,
  // It was in flight on a server that crashed: run it with nothing else in flight on its server, so
  // that the next crash or completion tells whether it is to blame.
  RunAlone,
  // Refuse as quarantined, not run.
  Refuse
};

// A server that crashed (its process ended or has another incarnation) and what it was running.
struct CrashReport
{
  base::ServerId server;
  base::Incarnation incarnation;
  base::DomainId domain;
  std::vector<WorkIdentity> inFlight;
};

// Finds poison requests. A crash is evidence against what was in flight; when several requests
// were, it only makes them suspects, and condemning takes at least one crash while running alone.
// Each entry VM has one instance; records() and merge() spread its content. Not thread-safe: the
// owner holds a mutex.
class Quarantine
{
public:
  explicit Quarantine(QuarantineSettings settings = {});

  QuarantineDecision check(const WorkIdentity& work, base::TimePoint now) const;

  // Records a crash. A server and incarnation count once per subject, but a report repeated after
  // a clearance or a lift counts as new evidence: report each crash once.
  void recordCrash(const CrashReport& crash, base::TimePoint now, WallTime wallNow);

  // The work completed on a server that did not crash: clears suspects, but not what is condemned.
  void recordCompletion(const WorkIdentity& work, base::TimePoint now, WallTime wallNow);

  // Voids all evidence against a subject up to now, whatever the clocks of other entry VMs say.
  // False if there was none; the lift still voids older evidence that arrives later.
  bool lift(const std::string& subject, base::TimePoint now, WallTime wallNow);

  // Condemned subjects, sorted, for operators.
  std::vector<QuarantineRecord> quarantined(base::TimePoint now) const;

  // Everything that is not expired, sorted, for peers. Receivers convert times on arrival.
  std::vector<QuarantineRecord> records(base::TimePoint now) const;

  // Merges records of a peer.
  void merge(const std::vector<QuarantineRecord>& records, base::TimePoint now);

  // Equal on entry VMs that have the same unexpired records.
  std::uint64_t digest(base::TimePoint now) const;

private:
  using Subjects = std::unordered_map<std::string, QuarantineRecord>;

  QuarantineRecord& recordOf(const std::string& subject);
  bool isQuarantined(const QuarantineRecord& record, base::TimePoint now) const;
  std::vector<CrashEvidence> liveEvidence(const QuarantineRecord& record,
                                          base::TimePoint now) const;
  void forgetExpired(base::TimePoint now);
  void enforceLimit(base::TimePoint now);

  QuarantineSettings settings_;
  Subjects subjects_;
};

} // namespace sycamore::requests

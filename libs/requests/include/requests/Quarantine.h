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
  // Number of crashed servers after which a subject is quarantined, in one failure domain or across
  // several.
  std::size_t crashThreshold = 2;
  // Time for which crash evidence counts. A quarantine ends when too little unexpired evidence is
  // left; the subject then runs alone again.
  base::Duration evidenceRetention = std::chrono::minutes(10);
  // Limit on the number of subjects. Above it the oldest are removed, those that are not
  // quarantined first.
  std::size_t maxSubjects = 4096;
};

enum class QuarantineDecision
{
  Run,
  // The request was in flight on a server that crashed: run it with nothing else in flight on its
  // server, so that the next crash or completion shows whether it is the cause.
  RunAlone,
  // Refuse the request as quarantined and not run.
  Refuse
};

// A crash of a server (its process ended or was replaced by a new incarnation) and the requests in
// flight on it.
struct CrashReport
{
  base::ServerId server;
  base::Incarnation incarnation;
  base::DomainId domain;
  std::vector<WorkIdentity> inFlight;
};

// Detects requests that crash servers and quarantines them. A crash is evidence against all
// requests in flight; if there were several, it only makes them suspects, and a quarantine takes at
// least one crash while the request ran alone. Each entry VM has one instance; records() and
// merge() replicate its content. Not thread-safe: the owner holds a mutex.
class Quarantine
{
public:
  explicit Quarantine(QuarantineSettings settings = {});

  QuarantineDecision check(const WorkIdentity& work, base::TimePoint now) const;

  // Records a crash. A server and incarnation count once per subject, but a report repeated after
  // a clearance or a lift counts as new evidence, so each crash must be reported only once.
  void recordCrash(const CrashReport& crash, base::TimePoint now, WallTime wallNow);

  // Records that a request completed on a server that did not crash. Clears its subjects if they
  // are suspects, but not if they are quarantined.
  void recordCompletion(const WorkIdentity& work, base::TimePoint now, WallTime wallNow);

  // Voids all evidence against a subject up to now, regardless of the clocks of other entry VMs.
  // Returns false if there was none; the lift still voids older evidence that arrives later.
  bool lift(const std::string& subject, base::TimePoint now, WallTime wallNow);

  // Returns the records of quarantined subjects, sorted by subject, for operators.
  std::vector<QuarantineRecord> quarantined(base::TimePoint now) const;

  // Returns all unexpired records, sorted by subject, for peers. Receivers convert the times on
  // arrival.
  std::vector<QuarantineRecord> records(base::TimePoint now) const;

  // Merges the records of a peer.
  void merge(const std::vector<QuarantineRecord>& records, base::TimePoint now);

  // Returns a digest that is equal on entry VMs with the same unexpired records.
  std::uint64_t digest(base::TimePoint now) const;

private:
  using Subjects = std::unordered_map<std::string, QuarantineRecord>;

  QuarantineRecord& recordOf(const std::string& subject);
  bool isQuarantined(const QuarantineRecord& record, base::TimePoint now) const;
  std::vector<CrashEvidence> unexpiredEvidence(const QuarantineRecord& record,
                                               base::TimePoint now) const;
  void removeExpired(base::TimePoint now);
  void enforceLimit(base::TimePoint now);

  QuarantineSettings settings_;
  Subjects subjects_;
};

} // namespace sycamore::requests

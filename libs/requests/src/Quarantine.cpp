#include <base/KeyHash.h>
#include <requests/Quarantine.h>

#include <algorithm>
#include <tuple>

namespace sycamore::requests {

namespace {

constexpr std::chrono::milliseconds kMinTimestampStep{ 1 };

bool isSameCrash(const CrashEvidence& a, const CrashEvidence& b)
{
  return a.server == b.server && a.incarnation == b.incarnation;
}

WallTime newestTimestamp(const QuarantineRecord& record)
{
  WallTime newest = record.clearedAt;
  for (const CrashEvidence& evidence : record.evidence) {
    newest = std::max(newest, evidence.timestamp);
  }
  return newest;
}

// Adds evidence of a crash. Of several reports of one crash, the newest wins; of two with the same
// timestamp, the weaker values win. Merging therefore gives the same result in any order. Keeping
// the oldest report would not: whether a clearance removes it depends on which arrives first.
void addEvidence(QuarantineRecord& record, const CrashEvidence& added)
{
  if (added.timestamp <= record.clearedAt) {
    return;
  }
  const auto known =
    std::find_if(record.evidence.begin(),
                 record.evidence.end(),
                 [&](const CrashEvidence& evidence) { return isSameCrash(evidence, added); });
  if (known == record.evidence.end()) {
    record.evidence.push_back(added);
    return;
  }
  if (added.timestamp > known->timestamp) {
    *known = added;
  } else if (added.timestamp == known->timestamp) {
    known->ranAlone = known->ranAlone && added.ranAlone;
    known->expiresAt = std::min(known->expiresAt, added.expiresAt);
  }
}

void clearUpTo(QuarantineRecord& record, WallTime timestamp, base::TimePoint until)
{
  if (timestamp < record.clearedAt) {
    return;
  }
  record.clearedAt = timestamp;
  record.clearanceExpiresAt = std::max(record.clearanceExpiresAt, until);
  std::erase_if(record.evidence, [timestamp](const CrashEvidence& evidence) {
    return evidence.timestamp <= timestamp;
  });
}

std::size_t countWithSubject(const std::vector<WorkIdentity>& works, const std::string& subject)
{
  return static_cast<std::size_t>(
    std::count_if(works.begin(), works.end(), [&subject](const WorkIdentity& work) {
      const auto& subjects = work.subjects();
      return std::find(subjects.begin(), subjects.end(), subject) != subjects.end();
    }));
}

std::string toCanonicalText(const QuarantineRecord& record)
{
  std::string text =
    record.subject + '|' + std::to_string(record.clearedAt.time_since_epoch().count());
  std::vector<std::string> crashes;
  for (const CrashEvidence& evidence : record.evidence) {
    crashes.push_back('|' + evidence.server.value() + '/' +
                      std::to_string(evidence.incarnation.value()) + '/' +
                      std::to_string(evidence.timestamp.time_since_epoch().count()) +
                      (evidence.ranAlone ? "/alone" : ""));
  }
  std::sort(crashes.begin(), crashes.end());
  for (const std::string& crash : crashes) {
    text += crash;
  }
  return text;
}

} // namespace

Quarantine::Quarantine(QuarantineSettings settings)
  : settings_(settings)
{
}

QuarantineDecision Quarantine::check(const WorkIdentity& work, base::TimePoint now) const
{
  QuarantineDecision decision = QuarantineDecision::Run;
  for (const std::string& subject : work.subjects()) {
    const auto found = subjects_.find(subject);
    if (found == subjects_.end()) {
      continue;
    }
    if (isQuarantined(found->second, now)) {
      return QuarantineDecision::Refuse;
    }
    if (!unexpiredEvidence(found->second, now).empty()) {
      decision = QuarantineDecision::RunAlone;
    }
  }
  return decision;
}

void Quarantine::recordCrash(const CrashReport& crash, base::TimePoint now, WallTime wallNow)
{
  removeExpired(now);
  for (const WorkIdentity& work : crash.inFlight) {
    for (const std::string& subject : work.subjects()) {
      QuarantineRecord& record = recordOf(subject);
      const bool ranAlone = countWithSubject(crash.inFlight, subject) == crash.inFlight.size();
      // A crash after a lift counts, even if this entry VM's clock is behind that of the entry VM
      // that lifted the quarantine.
      const WallTime timestamp = std::max(wallNow, record.clearedAt + kMinTimestampStep);
      addEvidence(record,
                  { crash.server,
                    crash.incarnation,
                    crash.domain,
                    ranAlone,
                    timestamp,
                    now + settings_.evidenceRetention });
    }
  }
  enforceLimit(now);
}

void Quarantine::recordCompletion(const WorkIdentity& work, base::TimePoint now, WallTime wallNow)
{
  if (subjects_.empty()) {
    return;
  }
  for (const std::string& subject : work.subjects()) {
    const auto found = subjects_.find(subject);
    if (found == subjects_.end() || isQuarantined(found->second, now) ||
        unexpiredEvidence(found->second, now).empty()) {
      continue;
    }
    const WallTime timestamp = std::max(wallNow, newestTimestamp(found->second));
    clearUpTo(found->second, timestamp, now + settings_.evidenceRetention);
  }
}

bool Quarantine::lift(const std::string& subject, base::TimePoint now, WallTime wallNow)
{
  QuarantineRecord& record = recordOf(subject);
  const bool hadEvidence = !unexpiredEvidence(record, now).empty();
  clearUpTo(record, std::max(wallNow, newestTimestamp(record)), now + settings_.evidenceRetention);
  enforceLimit(now);
  return hadEvidence;
}

std::vector<QuarantineRecord> Quarantine::quarantined(base::TimePoint now) const
{
  std::vector<QuarantineRecord> result = records(now);
  std::erase_if(result,
                [&](const QuarantineRecord& record) { return !isQuarantined(record, now); });
  return result;
}

std::vector<QuarantineRecord> Quarantine::records(base::TimePoint now) const
{
  std::vector<QuarantineRecord> result;
  for (const auto& [subject, record] : subjects_) {
    QuarantineRecord unexpired = record;
    unexpired.evidence = unexpiredEvidence(record, now);
    if (!unexpired.evidence.empty() || unexpired.clearanceExpiresAt > now) {
      result.push_back(std::move(unexpired));
    }
  }
  std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
    return a.subject < b.subject;
  });
  return result;
}

void Quarantine::merge(const std::vector<QuarantineRecord>& records, base::TimePoint now)
{
  removeExpired(now);
  for (const QuarantineRecord& theirs : records) {
    QuarantineRecord& ours = recordOf(theirs.subject);
    clearUpTo(ours, theirs.clearedAt, theirs.clearanceExpiresAt);
    for (const CrashEvidence& evidence : theirs.evidence) {
      addEvidence(ours, evidence);
    }
  }
  removeExpired(now);
  enforceLimit(now);
}

std::uint64_t Quarantine::digest(base::TimePoint now) const
{
  std::string all;
  for (const QuarantineRecord& record : records(now)) {
    all += toCanonicalText(record) + '\n';
  }
  return base::hashBytes(all);
}

QuarantineRecord& Quarantine::recordOf(const std::string& subject)
{
  QuarantineRecord& record = subjects_[subject];
  record.subject = subject;
  return record;
}

bool Quarantine::isQuarantined(const QuarantineRecord& record, base::TimePoint now) const
{
  const std::vector<CrashEvidence> unexpired = unexpiredEvidence(record, now);
  return unexpired.size() >= settings_.crashThreshold &&
         std::any_of(unexpired.begin(), unexpired.end(), [](const auto& evidence) {
           return evidence.ranAlone;
         });
}

std::vector<CrashEvidence> Quarantine::unexpiredEvidence(const QuarantineRecord& record,
                                                         base::TimePoint now) const
{
  std::vector<CrashEvidence> unexpired = record.evidence;
  std::erase_if(unexpired,
                [now](const CrashEvidence& evidence) { return evidence.expiresAt <= now; });
  return unexpired;
}

void Quarantine::removeExpired(base::TimePoint now)
{
  std::erase_if(subjects_, [&](const auto& entry) {
    return entry.second.clearanceExpiresAt <= now && unexpiredEvidence(entry.second, now).empty();
  });
}

void Quarantine::enforceLimit(base::TimePoint now)
{
  while (subjects_.size() > settings_.maxSubjects) {
    const auto rank = [&](const auto& entry) {
      return std::make_tuple(isQuarantined(entry.second, now), newestTimestamp(entry.second));
    };
    const auto evicted =
      std::min_element(subjects_.begin(), subjects_.end(), [&](const auto& a, const auto& b) {
        return rank(a) < rank(b);
      });
    subjects_.erase(evicted);
  }
}

} // namespace sycamore::requests

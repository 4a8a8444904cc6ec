#include <base/KeyHash.h>
#include <requests/Quarantine.h>

#include <algorithm>
#include <tuple>

namespace sycamore::requests {

namespace {

constexpr std::chrono::milliseconds kMinTimestampStep{ 1 };

bool sameCrash(const CrashEvidence& a, const CrashEvidence& b)
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

// The newest statement about a crash wins, and the weaker one of two of the same time, so that
// merging doesn't depend on the order. The oldest would not do: a clearance drops it or not,
// depending on what came first.
void addTo(QuarantineRecord& record, const CrashEvidence& added)
{
  if (added.timestamp <= record.clearedAt) {
    return;
  }
  const auto known =
    std::find_if(record.evidence.begin(),
                 record.evidence.end(),
                 [&](const CrashEvidence& evidence) { return sameCrash(evidence, added); });
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

std::size_t countOf(const std::vector<WorkIdentity>& works, const std::string& subject)
{
  return static_cast<std::size_t>(
    std::count_if(works.begin(), works.end(), [&subject](const WorkIdentity& work) {
      const auto& subjects = work.subjects();
      return std::find(subjects.begin(), subjects.end(), subject) != subjects.end();
    }));
}

std::string describe(const QuarantineRecord& record)
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
  QuarantineDecision treatment = QuarantineDecision::Run;
  for (const std::string& subject : work.subjects()) {
    const auto found = subjects_.find(subject);
    if (found == subjects_.end()) {
      continue;
    }
    if (isQuarantined(found->second, now)) {
      return QuarantineDecision::Refuse;
    }
    if (!liveEvidence(found->second, now).empty()) {
      treatment = QuarantineDecision::RunAlone;
    }
  }
  return treatment;
}

void Quarantine::recordCrash(const CrashReport& crash, base::TimePoint now, WallTime wallNow)
{
  forgetExpired(now);
  for (const WorkIdentity& work : crash.inFlight) {
    for (const std::string& subject : work.subjects()) {
      QuarantineRecord& record = recordOf(subject);
      const bool ranAlone = countOf(crash.inFlight, subject) == crash.inFlight.size();
      // A crash after a lift counts, even where this clock is behind that of the lift.
      const WallTime timestamp = std::max(wallNow, record.clearedAt + kMinTimestampStep);
      addTo(record,
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
        liveEvidence(found->second, now).empty()) {
      continue;
    }
    const WallTime timestamp = std::max(wallNow, newestTimestamp(found->second));
    clearUpTo(found->second, timestamp, now + settings_.evidenceRetention);
  }
}

bool Quarantine::lift(const std::string& subject, base::TimePoint now, WallTime wallNow)
{
  QuarantineRecord& record = recordOf(subject);
  const bool known = !liveEvidence(record, now).empty();
  clearUpTo(record, std::max(wallNow, newestTimestamp(record)), now + settings_.evidenceRetention);
  enforceLimit(now);
  return known;
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
    QuarantineRecord live = record;
    live.evidence = liveEvidence(record, now);
    if (!live.evidence.empty() || live.clearanceExpiresAt > now) {
      result.push_back(std::move(live));
    }
  }
  std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
    return a.subject < b.subject;
  });
  return result;
}

void Quarantine::merge(const std::vector<QuarantineRecord>& records, base::TimePoint now)
{
  forgetExpired(now);
  for (const QuarantineRecord& theirs : records) {
    QuarantineRecord& ours = recordOf(theirs.subject);
    clearUpTo(ours, theirs.clearedAt, theirs.clearanceExpiresAt);
    for (const CrashEvidence& evidence : theirs.evidence) {
      addTo(ours, evidence);
    }
  }
  forgetExpired(now);
  enforceLimit(now);
}

std::uint64_t Quarantine::digest(base::TimePoint now) const
{
  std::string all;
  for (const QuarantineRecord& record : records(now)) {
    all += describe(record) + '\n';
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
  const std::vector<CrashEvidence> live = liveEvidence(record, now);
  return live.size() >= settings_.crashThreshold &&
         std::any_of(
           live.begin(), live.end(), [](const auto& evidence) { return evidence.ranAlone; });
}

std::vector<CrashEvidence> Quarantine::liveEvidence(const QuarantineRecord& record,
                                                    base::TimePoint now) const
{
  std::vector<CrashEvidence> live = record.evidence;
  std::erase_if(live, [now](const CrashEvidence& evidence) { return evidence.expiresAt <= now; });
  return live;
}

void Quarantine::forgetExpired(base::TimePoint now)
{
  std::erase_if(subjects_, [&](const auto& entry) {
    return entry.second.clearanceExpiresAt <= now && liveEvidence(entry.second, now).empty();
  });
}

void Quarantine::enforceLimit(base::TimePoint now)
{
  while (subjects_.size() > settings_.maxSubjects) {
    const auto rank = [&](const auto& entry) {
      return std::make_tuple(isQuarantined(entry.second, now), newestTimestamp(entry.second));
    };
    const auto least =
      std::min_element(subjects_.begin(), subjects_.end(), [&](const auto& a, const auto& b) {
        return rank(a) < rank(b);
      });
    subjects_.erase(least);
  }
}

} // namespace sycamore::requests

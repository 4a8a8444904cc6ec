#include <dispatch/CrashSuspects.h>

namespace sycamore::dispatch {

CrashSuspects::CrashSuspects(CrashSuspectSettings settings)
  : settings_(settings)
{
}

void CrashSuspects::onConnectionBroken(std::uint64_t digest,
                                       const std::string& serverIncarnation,
                                       base::TimePoint now)
{
  if (evidence_.size() >= settings_.maxSuspects) {
    std::erase_if(evidence_, [now](const auto& entry) { return entry.second.expiresAt <= now; });
  }
  if (evidence_.size() >= settings_.maxSuspects && !evidence_.contains(digest)) {
    return;
  }
  Evidence& evidence = evidence_[digest];
  if (evidence.expiresAt <= now) {
    evidence.servers.clear();
  }
  evidence.servers.insert(serverIncarnation);
  evidence.expiresAt = now + settings_.evidenceDuration;
}

void CrashSuspects::onRequestAnswered(std::uint64_t digest)
{
  if (!evidence_.empty()) {
    evidence_.erase(digest);
  }
}

bool CrashSuspects::shouldRefuse(std::uint64_t digest, base::TimePoint now) const
{
  const auto found = evidence_.find(digest);
  return found != evidence_.end() && now < found->second.expiresAt &&
         found->second.servers.size() >= settings_.minBrokenServers;
}

} // namespace sycamore::dispatch

#include "WorkRunner.h"

#include <algorithm>

namespace sycamore::backend_stub {

WorkRunner::WorkRunner(base::Duration serviceTime,
                       GrantCheck& grants,
                       Journal& journal,
                       BackendFaults& faults,
                       const test_http::FreezeGate& gate)
  : serviceTime_(serviceTime)
  , grants_(grants)
  , journal_(journal)
  , faults_(faults)
  , gate_(gate)
{
}

std::string WorkRunner::refusal(const Work& work) const
{
  const base::TimePoint now = clock_.now();
  return work.deadline && now >= *work.deadline ? "expired" : grants_.refusal(work, now);
}

WorkRunner::Result WorkRunner::run(const Work& work)
{
  gate_.waitWhileFrozen();
  const base::TimePoint start = clock_.now();
  if (work.deadline && start >= *work.deadline) {
    return { "not-run", "expired" };
  }
  const std::string reason = grants_.begin(work, start);
  if (!reason.empty()) {
    return { "not-run", reason };
  }
  Result result = execute(work, start);
  grants_.end(work);
  return result;
}

WorkRunner::Result WorkRunner::execute(const Work& work, base::TimePoint start)
{
  const std::uint64_t seq = journal_.start(work, start);
  faults_.crashIfConfigured(work);
  base::TimePoint end =
    start + faults_.slowedServiceTime(work.serviceTime.value_or(serviceTime_), start);
  if (work.deadline) {
    end = std::min(end, *work.deadline);
  }
  const bool cancelled = cancels_.waitCancelled(work.requestId, end);
  gate_.waitWhileFrozen();
  return commit(work, cancelled, seq);
}

WorkRunner::Result WorkRunner::commit(const Work& work, bool cancelled, std::uint64_t seq)
{
  // The grant is checked for the same time that the journal records as the commit time.
  const base::TimePoint now = clock_.now();
  std::string reason = cancelled ? "cancelled" : grants_.commitRefusal(work, now);
  if (reason.empty() && work.deadline && now >= *work.deadline) {
    reason = "expired";
  }
  if (reason.empty()) {
    journal_.finish(seq, "ran", now);
    return { "ran", "" };
  }
  journal_.finish(seq, cancelled ? "cancelled" : "aborted", now);
  return { "unknown", reason };
}

} // namespace sycamore::backend_stub

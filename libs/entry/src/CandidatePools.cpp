#include <entry/CandidatePools.h>

#include <entry/Dispatcher.h>
#include <entry/RequestHandler.h>

namespace sycamore::entry {

CandidatePools::CandidatePools(Dispatcher& dispatcher,
                               const std::vector<std::shared_ptr<ServerPool>>& pools,
                               const RequestHandler& request,
                               const dispatch::DomainOverflow& overflow,
                               const base::DomainId& preferredDomain,
                               base::TimePoint now)
  : dispatcher_(dispatcher)
  , pools_(pools)
  , request_(request)
  , overflow_(overflow)
  , preferredDomain_(preferredDomain)
  , now_(now)
{
}

dispatch::ServerState CandidatePools::state(std::size_t index) const
{
  ServerPool& pool = *pools_[index];
  if (!dispatcher_.acceptsRequests(pool)) {
    return dispatch::ServerState::Unavailable;
  }
  if (pool.pause().isActive(now_)) {
    return dispatch::ServerState::Paused;
  }
  if (pool.load().isSuspect(now_)) {
    return dispatch::ServerState::Suspect;
  }
  if (!pool.hasConnection(now_)) {
    return dispatch::ServerState::Unconnected;
  }
  return request_.tried(pool.server().id) ? dispatch::ServerState::Tried
                                          : dispatch::ServerState::Usable;
}

dispatch::DomainRank CandidatePools::domainRank(std::size_t index) const
{
  return overflow_.rank(pools_[index]->server().domain, preferredDomain_, now_);
}

std::uint64_t CandidatePools::affinity(std::size_t index) const
{
  return pools_[index]->affinity();
}

base::Duration CandidatePools::pauseLeft(std::size_t index) const
{
  return pools_[index]->pause().timeLeft(now_);
}

dispatch::ServerEstimate CandidatePools::estimate(std::size_t index) const
{
  ServerPool& pool = *pools_[index];
  dispatcher_.assumeServiceWork(pool);
  return { pool.load().expectedLatency(now_),
           pool.load().work(),
           pool.server().domain == dispatcher_.settings_.domain,
           pool.trialSchedule().isDue(dispatcher_.view_->entryVms, now_),
           pool.hasIdleConnection(now_) };
}

dispatch::Admission CandidatePools::tryAdmit(std::size_t index,
                                             const dispatch::ServerEstimate& estimate)
{
  using dispatch::AdmissionVerdict;
  ServerPool& pool = *pools_[index];
  if (const auto retryAfter = dispatcher_.retryDelayIfRefused(request_, estimate.latency, now_)) {
    return { AdmissionVerdict::NoRoom, *retryAfter };
  }
  const dispatch::PermitDecision permit = dispatcher_.tryTakePermit(request_, pool, now_);
  if (permit != dispatch::PermitDecision::Send) {
    const bool awaitsPermit = permit != dispatch::PermitDecision::Refuse;
    return { awaitsPermit ? AdmissionVerdict::AwaitsPermit : AdmissionVerdict::AtRequestLimit, {} };
  }
  return { dispatcher_.tryTakeColdStartShare(pool, now_) ? AdmissionVerdict::Admitted
                                                         : AdmissionVerdict::AtColdStartRate,
           {} };
}

} // namespace sycamore::entry

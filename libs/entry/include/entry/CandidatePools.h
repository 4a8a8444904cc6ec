#pragma once

#include <entry/ServerPool.h>

#include <dispatch/DomainOverflow.h>
#include <dispatch/ServerDecision.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace sycamore::entry {

class Dispatcher;
class RequestHandler;

// The servers that a request may go to, as candidates of dispatch::ServerChoice. Traffic thread
// only.
class CandidatePools
{
public:
  // The arguments have to outlive this object. `preferredDomain` is that of the request.
  CandidatePools(Dispatcher& dispatcher,
                 const std::vector<std::shared_ptr<ServerPool>>& pools,
                 const RequestHandler& request,
                 const dispatch::DomainOverflow& overflow,
                 const base::DomainId& preferredDomain,
                 base::TimePoint now);

  std::size_t count() const { return pools_.size(); }
  dispatch::ServerState state(std::size_t index) const;
  dispatch::DomainRank domainRank(std::size_t index) const;
  double domainPenalty() const { return overflow_.penalty(now_); }
  std::uint64_t affinity(std::size_t index) const;
  base::Duration pauseLeft(std::size_t index) const;
  dispatch::ServerEstimate estimate(std::size_t index) const;
  dispatch::Admission tryAdmit(std::size_t index, const dispatch::ServerEstimate& estimate);

private:
  Dispatcher& dispatcher_;
  const std::vector<std::shared_ptr<ServerPool>>& pools_;
  const RequestHandler& request_;
  const dispatch::DomainOverflow& overflow_;
  const base::DomainId& preferredDomain_;
  base::TimePoint now_;
};

} // namespace sycamore::entry

#pragma once

#include "HistoryChecker.h"
#include "ModelClock.h"
#include "ModelMap.h"

#include <GrantRegisterImpl.h>

namespace sycamore::ownership::model {

// A backend server: a grant register, a clock, and executions that start and commit.
template<OwnershipRules Rules>
class ModelServer
{
public:
  ModelServer(int index, ModelClock clock)
    : index_(index)
    , clock_(clock)
    , register_(ModelMap::id(index), base::Incarnation(1), clock.at({}))
  {
  }

  void restart(ModelClock clock, base::Duration real)
  {
    clock_ = clock;
    ++incarnation_;
    register_ = { ModelMap::id(index_), base::Incarnation(incarnation_), clock.at(real) };
    lastTerm_ = {};
  }

  GrantReply grant(const GrantRequest& request, base::Duration real, HistoryChecker& checker)
  {
    const GrantReply reply = register_.onGrant(request, clock_.at(real));
    if (reply.accepted) {
      if (request.term < lastTerm_) {
        checker.fail(
          real, "term of s", index_, " went back from ", lastTerm_, " to ", request.term);
      }
      lastTerm_ = request.term;
    }
    return reply;
  }

  ReleaseReply release(const ReleaseRequest& request, base::Duration real)
  {
    return register_.onRelease(request, clock_.at(real));
  }

  bool mayExecute(std::uint32_t shard, base::Duration real) const
  {
    return up && register_.mayExecute(base::ShardId(shard), clock_.at(real));
  }

  BasicGrantRegister<Rules>& grants() { return register_; }
  base::Term highestTerm() const { return register_.highestTerm(); }
  base::TimePoint local(base::Duration real) const { return clock_.at(real); }
  std::uint64_t incarnation() const { return incarnation_; }

  bool up = true;
  base::Duration frozenUntil{};

private:
  int index_;
  ModelClock clock_;
  BasicGrantRegister<Rules> register_;
  std::uint64_t incarnation_ = 1;
  base::Term lastTerm_;
};

} // namespace sycamore::ownership::model

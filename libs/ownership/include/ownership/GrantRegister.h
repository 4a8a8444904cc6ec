#pragma once

#include <ownership/GrantReply.h>
#include <ownership/GrantRequest.h>
#include <ownership/OwnershipRules.h>
#include <ownership/ReleaseReply.h>
#include <ownership/ReleaseRequest.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace sycamore::ownership {

// Result of an attempt to start an execution at a server.
enum class StartResult
{
  Started,
  NotOwner,  // the server has no valid grant for the shard
  StaleTerm, // the sender's term is below the highest seen
  Draining   // the shard is being released
};

// Identifies a started execution.
enum class ExecutionId : std::uint64_t
{
};

// The grant that a backend server holds and the executions that run under it, in memory only. All
// times are of the server's monotonic clock. Not synchronized: the server calls it under its own
// lock.
template<OwnershipRules Rules>
class BasicGrantRegister
{
public:
  // incarnation must differ between any two starts of the server.
  BasicGrantRegister(base::ServerId self, base::Incarnation incarnation, base::TimePoint startedAt);

  GrantReply onGrant(const GrantRequest& request, base::TimePoint now);
  // Stops new executions for the shards. The reply confirms the release once none is running.
  // Grants that echo a timestamp from before the release don't bring the shards back.
  ReleaseReply onRelease(const ReleaseRequest& request, base::TimePoint now);

  // Call it immediately before the execution starts, after anything that may block.
  StartResult start(base::ShardId shard,
                    base::Term term,
                    base::TimePoint now,
                    ExecutionId& execution);
  // Call it immediately before the execution commits. Returns false if the grant has lapsed since
  // the start, even if it has been renewed: another server may have executed requests of the shard
  // in between.
  bool mayCommit(ExecutionId execution, base::TimePoint now) const;
  void finish(ExecutionId execution) { executions_.erase(execution); }

  // Returns whether a new execution for the shard would be allowed.
  bool mayExecute(base::ShardId shard, base::TimePoint now) const;
  base::Term highestTerm() const { return highestTerm_; }
  base::TimePoint validUntil() const { return validUntil_; }
  std::size_t executionCount() const { return executions_.size(); }

private:
  struct Release
  {
    ShardSet shards;
    base::TimePoint receivedAt;
  };

  bool raiseTerm(base::Term term, const HolderId& holder);
  GrantReason evaluate(const GrantRequest& request, base::TimePoint now) const;
  void adopt(const GrantRequest& request, base::TimePoint now);
  void abortUnownedExecutions(base::TimePoint now);
  bool isReleased(base::ShardId shard) const;
  bool isExecuting(const ShardSet& shards) const;

  base::ServerId self_;
  base::Incarnation incarnation_;
  base::TimePoint startedAt_;
  base::Term highestTerm_;
  HolderId holder_;
  // The set as requested, to which the digest refers. Released shards are removed only from
  // granted_.
  ShardSet requested_;
  std::uint64_t requestedDigest_ = 0;
  bool hasRequested_ = false;
  ShardSet granted_;
  base::Term grantedTerm_;
  base::TimePoint lastEcho_;
  base::TimePoint validUntil_;
  base::Duration longestLifetime_{};
  std::deque<Release> releases_;
  std::map<ExecutionId, base::ShardId> executions_;
  std::uint64_t nextExecution_ = 1;
};

extern template class BasicGrantRegister<StandardRules>;
using GrantRegister = BasicGrantRegister<StandardRules>;

} // namespace sycamore::ownership

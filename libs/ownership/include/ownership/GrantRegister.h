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

// Whether a request may start at a server.
enum class StartResult
{
  Started,
  NotOwner,  // no valid grant for the shard
  StaleTerm, // the sender's term is below the highest seen
  Draining   // the shard is being released
};

// A started execution.
enum class ExecutionId : std::uint64_t
{
};

// The grant that a backend server has, in memory only. All times are of the server's monotonic
// clock. Not synchronized: the server calls it under its own lock.
template<OwnershipRules Rules>
class BasicGrantRegister
{
public:
  // incarnation must differ between runs of the server.
  BasicGrantRegister(base::ServerId self, base::Incarnation incarnation, base::TimePoint startedAt);

  GrantReply onGrant(const GrantRequest& request, base::TimePoint now);
  // Stops new work for the shards. Confirms once none is running; grants with an echo from before
  // don't bring the shards back.
  ReleaseReply onRelease(const ReleaseRequest& request, base::TimePoint now);

  // Call immediately before the execution starts, after any pause.
  StartResult start(base::ShardId shard, base::Term term, base::TimePoint now, ExecutionId& run);
  // Call immediately before the execution commits. False if the grant has lapsed since the start,
  // even if it has been renewed: another server may have run the shard in between.
  bool mayCommit(ExecutionId run, base::TimePoint now) const;
  void finish(ExecutionId run) { running_.erase(run); }

  // Whether a new execution of the shard would be allowed.
  bool mayExecute(base::ShardId shard, base::TimePoint now) const;
  base::Term highestTerm() const { return highest_; }
  base::TimePoint validUntil() const { return validUntil_; }
  std::size_t running() const { return running_.size(); }

private:
  struct Release
  {
    ShardSet shards;
    base::TimePoint at;
  };

  bool raiseTerm(base::Term term, const HolderId& holder);
  GrantReason judge(const GrantRequest& request, base::TimePoint now) const;
  void adopt(const GrantRequest& request, base::TimePoint now);
  void abortLapsedRuns(base::TimePoint now);
  bool released(base::ShardId shard) const;
  bool runs(const ShardSet& shards) const;

  base::ServerId self_;
  base::Incarnation incarnation_;
  base::TimePoint startedAt_;
  base::Term highest_;
  HolderId holder_;
  // As requested, for the digest; released shards are taken out of granted_ only.
  ShardSet requested_;
  std::uint64_t requestedDigest_ = 0;
  bool hasRequested_ = false;
  ShardSet granted_;
  base::Term grantedTerm_;
  base::TimePoint lastEcho_;
  base::TimePoint validUntil_;
  base::Duration longestLifetime_{};
  std::deque<Release> releases_;
  std::map<ExecutionId, base::ShardId> running_;
  std::uint64_t nextRun_ = 1;
};

extern template class BasicGrantRegister<StandardRules>;
using GrantRegister = BasicGrantRegister<StandardRules>;

} // namespace sycamore::ownership

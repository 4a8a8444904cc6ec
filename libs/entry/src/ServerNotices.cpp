#include <entry/ServerNotices.h>

#include <entry/SteadyTime.h>

namespace sycamore::entry {

ServerNotices::ServerNotices(EventLog& log, DispatchCounts& counts)
  : log_(log)
  , counts_(counts)
{
}

void ServerNotices::onAnswer(ServerPool& pool,
                             const wire::AnswerMetadata& answer,
                             base::TimePoint sentAt)
{
  if (answer.isLeaving) {
    onLeaving(pool);
  }
  if (answer.limit || !answer.notRun) {
    onLimit(pool, answer.limit, sentAt);
  }
  if (answer.pause) {
    onPause(pool, *answer.pause);
  }
}

dispatch::PermitDecision ServerNotices::tryTakePermit(ServerPool& pool,
                                                      const dispatch::PermitSeeker& seeker,
                                                      std::size_t entryVms,
                                                      base::TimePoint now)
{
  if (!pool.permits().limit()) {
    return dispatch::PermitDecision::Send;
  }
  const dispatch::PermitDecision decision = pool.permits().tryTake(seeker, entryVms, now);
  if (decision == dispatch::PermitDecision::Send) {
    ++counts_.permitsUsed;
  } else if (decision == dispatch::PermitDecision::Ask && permitListener_) {
    permitListener_({ { { pool.server().id, pool.server().born }, *pool.permits().limit() },
                      pool.permits().wanted(),
                      seeker.priority });
  }
  return decision;
}

// The pool is marked at once; the control thread tells the other VMs and moves the server's keys.
void ServerNotices::onLeaving(ServerPool& pool)
{
  if (pool.isLeaving()) {
    return;
  }
  pool.setLeaving();
  ++counts_.serversLeaving;
  log_.write("server_leaving",
             { { "id", pool.server().id.value() },
               { "born", pool.server().born },
               { "entry_draining", pool.server().draining } });
  if (leavingListener_) {
    leavingListener_({ pool.server().id, pool.server().born });
  }
}

void ServerNotices::onPause(ServerPool& pool, base::Duration pause)
{
  const base::TimePoint now = clockNow();
  ++counts_.serverPauses;
  if (!pool.pause().isActive(now)) {
    log_.write(
      "server_paused",
      { { "id", pool.server().id.value() },
        { "pause_ms", std::chrono::duration_cast<std::chrono::milliseconds>(pause).count() } });
  }
  pool.pause().onTurnedAway(pause, now);
}

void ServerNotices::onLimit(ServerPool& pool,
                            std::optional<dispatch::RequestLimit> limit,
                            base::TimePoint sentAt)
{
  const bool wasLimited = pool.permits().limit().has_value();
  const bool mustReport = pool.permits().onAnswer(limit, sentAt, clockNow());
  if (limit && !wasLimited) {
    log_.write("server_named_limit",
               { { "id", pool.server().id.value() },
                 { "born", pool.server().born },
                 { "per_second", limit->perSecond } });
  }
  if (mustReport && limitListener_) {
    limitListener_({ pool.server().id, pool.server().born }, limit);
  }
}

} // namespace sycamore::entry

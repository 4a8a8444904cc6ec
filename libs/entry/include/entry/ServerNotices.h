#pragma once

#include <entry/DispatchCounts.h>
#include <entry/EventLog.h>
#include <entry/ServerPool.h>

#include <dispatch/LeavingServers.h>
#include <dispatch/RequestPermits.h>
#include <wire/ServerProtocol.h>

#include <functional>
#include <optional>

namespace sycamore::entry {

// What backend servers say of themselves in their answers: that they leave, that they want no
// requests for a time, and how many requests they take. Notes it in the server's pool and tells the
// control thread what the other entry VMs have to know. Traffic thread only.
class ServerNotices
{
public:
  // Notified of each server that has said in an answer that it leaves.
  using LeavingListener = std::function<void(const dispatch::ServerIncarnation&)>;
  // Notified of each answer that named a limit, or named none though the server had one.
  using LimitListener =
    std::function<void(const dispatch::ServerIncarnation&, std::optional<dispatch::RequestLimit>)>;
  // Notified when permits are needed.
  using PermitListener = std::function<void(const dispatch::PermitQuestion&)>;

  // `log` and `counts` have to outlive this object.
  ServerNotices(EventLog& log, DispatchCounts& counts);

  void setLeavingListener(LeavingListener listener) { leavingListener_ = std::move(listener); }
  void setLimitListeners(LimitListener limitListener, PermitListener permitListener)
  {
    limitListener_ = std::move(limitListener);
    permitListener_ = std::move(permitListener);
  }

  // The pool's server, and no other one, has answered a request sent at `sentAt`.
  void onAnswer(ServerPool& pool, const wire::AnswerMetadata& answer, base::TimePoint sentAt);

  // Takes a permit for a request, or asks for one.
  dispatch::PermitDecision tryTakePermit(ServerPool& pool,
                                         const dispatch::PermitSeeker& seeker,
                                         std::size_t entryVms,
                                         base::TimePoint now);

private:
  void onLeaving(ServerPool& pool);
  void onPause(ServerPool& pool, base::Duration pause);
  // An executed answer named this limit, or none.
  void onLimit(ServerPool& pool,
               std::optional<dispatch::RequestLimit> limit,
               base::TimePoint sentAt);

  EventLog& log_;
  DispatchCounts& counts_;
  LeavingListener leavingListener_;
  LimitListener limitListener_;
  PermitListener permitListener_;
};

} // namespace sycamore::entry

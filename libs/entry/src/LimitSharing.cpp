#include <entry/LimitSharing.h>

#include <utility>

namespace sycamore::entry {

LimitSharing::LimitSharing(PeerLink& peerLink, EventLog& log, GrantListener grantListener)
  : peerLink_(peerLink)
  , log_(log)
  , grantListener_(std::move(grantListener))
{
}

void LimitSharing::setRole(bool isCoordinator, bool isSoleIssuer, base::TimePoint now)
{
  if (isCoordinator && !isCoordinator_) {
    // Permits of an earlier term are no measure for this one.
    issuer_ = {};
  }
  isCoordinator_ = isCoordinator;
  isSoleIssuer_ = isSoleIssuer;
  if (isCoordinator_) {
    hasChanged_ = limits_.expire(now) || hasChanged_;
  }
}

void LimitSharing::onAnswer(const dispatch::ServerIncarnation& server,
                            std::optional<dispatch::RequestLimit> limit,
                            base::TimePoint now)
{
  const ServerLimitMessage message{ server, limit };
  if (isCoordinator_) {
    onMessage(message, now);
  } else if (coordinator_) {
    peerLink_.send(*coordinator_, message);
  }
}

void LimitSharing::requestPermits(const PermitRequestMessage& request, base::TimePoint now)
{
  if (isCoordinator_) {
    onMessage(grant(request, now));
  } else if (coordinator_) {
    peerLink_.send(*coordinator_, request);
  }
}

void LimitSharing::onMessage(const ServerLimitMessage& message, base::TimePoint now)
{
  if (!isCoordinator_ || !limits_.onAnswer(message.server, message.limit, now)) {
    return;
  }
  hasChanged_ = true;
  log_.write(
    "server_limit",
    { { "id", message.server.id.value() },
      { "born", message.server.born },
      { "per_second", message.limit ? nlohmann::json(message.limit->perSecond) : nullptr } });
}

void LimitSharing::onMessage(const PermitRequestMessage& message,
                             const PeerAddress& from,
                             base::TimePoint now)
{
  if (isCoordinator_) {
    peerLink_.send(from, grant(message, now));
  }
}

void LimitSharing::onMessage(const PermitGrantMessage& message)
{
  grantListener_(message.server, message.grant);
}

void LimitSharing::onPage(const dispatch::LimitedServersPage& page, base::TimePoint now)
{
  hasChanged_ = limits_.apply(page, now) || hasChanged_;
}

void LimitSharing::retain(const std::map<base::ServerId, dispatch::BackendServer>& registered)
{
  hasChanged_ = limits_.retain(registered) || hasChanged_;
}

bool LimitSharing::takeChange()
{
  return std::exchange(hasChanged_, false);
}

// The limit that the coordinator knows goes before the asking VM's, which may be older.
PermitGrantMessage LimitSharing::grant(const PermitRequestMessage& request, base::TimePoint now)
{
  dispatch::PermitQuestion question = request.question;
  dispatch::LimitedServer& limited = question.limited;
  limited.limit = limits_.limitOf(limited.server).value_or(limited.limit);
  return { limited.server, issuer_.request(question, isSoleIssuer_, now) };
}

} // namespace sycamore::entry

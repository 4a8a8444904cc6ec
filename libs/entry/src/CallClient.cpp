#include <entry/CallClient.h>

#include <entry/SteadyTime.h>

#include <wire/ServerProtocol.h>

#include <algorithm>

namespace sycamore::entry {

struct CallClient::Pending
{
  explicit Pending(asio::io_context& context)
    : timer(context)
  {
  }

  std::shared_ptr<ServerConnection> connection;
  dispatch::Endpoint endpoint;
  base::TimePoint sentAt;
  asio::steady_timer timer;
  Finished finished;
  base::Duration timeout{};
  base::TimePoint endsAt;
  // Bytes of the answer when the timer was last started.
  std::size_t receivedBytes = 0;
};

CallClient::CallClient(asio::io_context& context, const BufferQuota& quota)
  : context_(context)
  , quota_(quota)
{
}

void CallClient::call(Call call, Finished finished)
{
  const base::TimePoint now = clockNow();
  auto pending = std::make_shared<Pending>(context_);
  pending->connection = idleConnectionsOf(call.endpoint).take(now);
  if (pending->connection && call.needsNewConnection) {
    // The new connection takes the place of an idle one, since servers limit their number.
    pending->connection->abandon();
    pending->connection = nullptr;
  }
  if (!pending->connection) {
    pending->connection = std::make_shared<ServerConnection>(context_, call.endpoint, quota_);
  }
  pending->endpoint = call.endpoint;
  pending->sentAt = now;
  pending->finished = std::move(finished);
  std::string bytes = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + call.endpoint.ip +
                      ":" + std::to_string(call.endpoint.port) + "\r\n";
  bytes += call.headers;
  if (!call.requestId.empty()) {
    wire::appendRequestId(bytes, call.requestId);
  }
  if (!call.body.empty()) {
    bytes += "Content-Type: application/json\r\n";
    bytes += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  bytes += "\r\n" + call.body;
  pending->connection->setMaxAnswerBytes(call.maxAnswerBytes);
  pending->connection->setSendCondition(std::move(call.maySend));
  pending->timeout = call.timeout;
  pending->endsAt = now + std::max(call.timeout, call.maxDuration);
  awaitTimeout(pending);
  const bool needsId = !call.requestId.empty();
  const base::Duration connectTimeout =
    call.connectTimeout > base::Duration::zero() ? call.connectTimeout : call.timeout;
  pending->connection->exchange(
    std::move(bytes),
    std::move(call.requestId),
    false,
    now + connectTimeout,
    [this, pending, needsId, endpoint = call.endpoint](ExchangeResult result) {
      pending->timer.cancel();
      if (needsId) {
        count(result);
      }
      if (result.reusable) {
        if (needsId && !result.isIdentified) {
          pending->connection->acceptUnidentifiedAnswers();
        }
        idleConnectionsOf(endpoint).put(pending->connection);
      }
      if (pending->finished) {
        const Finished done = std::move(pending->finished);
        pending->finished = nullptr;
        done(std::move(result));
      }
    });
}

void CallClient::awaitTimeout(const std::shared_ptr<Pending>& pending)
{
  const base::TimePoint now = clockNow();
  pending->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
    std::min(pending->timeout, pending->endsAt - now)));
  pending->timer.async_wait([this, pending](const error_code& error) {
    if (error || !pending->finished) {
      return;
    }
    const std::size_t received = pending->connection->receivedBytes();
    if (received > pending->receivedBytes && clockNow() < pending->endsAt) {
      pending->receivedBytes = received;
      awaitTimeout(pending);
      return;
    }
    onTimeout(*pending);
  });
}

void CallClient::onTimeout(Pending& pending)
{
  ExchangeResult result;
  result.end = pending.connection->sendStarted() ? ExchangeEnd::Broken : ExchangeEnd::NotSent;
  result.timedOut = true;
  result.reused = pending.connection->reused();
  result.connectionAge = pending.connection->age(clockNow());
  result.idleClosed = idleConnectionsOf(pending.endpoint).closeUnconfirmedSince(pending.sentAt);
  pending.connection->abandon();
  const Finished done = std::move(pending.finished);
  pending.finished = nullptr;
  done(std::move(result));
}

void CallClient::post(std::function<void()> function)
{
  asio::post(context_, std::move(function));
}

void CallClient::closeIdle(const dispatch::Endpoint& endpoint)
{
  idleConnectionsOf(endpoint).closeAll();
}

CallAnswers CallClient::answers() const
{
  CallAnswers result = answers_;
  for (const auto& [endpoint, connections] : idleConnections_) {
    result.unasked += connections.unaskedAnswers();
  }
  return result;
}

void CallClient::count(const ExchangeResult& result)
{
  answers_.otherId += result.foreignAnswers;
  if (result.end == ExchangeEnd::Answered) {
    ++(result.isIdentified ? answers_.ownId : answers_.withoutId);
  }
}

IdleConnections& CallClient::idleConnectionsOf(const dispatch::Endpoint& endpoint)
{
  return idleConnections_[{ endpoint.ip, endpoint.port }];
}

} // namespace sycamore::entry

#include <entry/CallClient.h>

#include <entry/SteadyTime.h>

#include <wire/ServerProtocol.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

// Time after which a connection is given up on which the server hasn't answered the opening call:
// another one may be read sooner.
constexpr base::Duration kOpeningTimeout = base::milliseconds(2000);
// Maximum number of connections that are being opened to one address beyond the number of calls
// that wait for them.
constexpr std::size_t kMaxSpareOpenings = 2;

std::string textOf(const Call& call,
                   const std::string& path,
                   const std::string& body,
                   const std::string& requestId)
{
  std::string bytes = call.method + " " + path + " HTTP/1.1\r\nHost: " + call.endpoint.ip + ":" +
                      std::to_string(call.endpoint.port) + "\r\n";
  bytes += call.headers;
  if (!requestId.empty()) {
    wire::appendRequestId(bytes, requestId);
  }
  if (!body.empty()) {
    bytes += "Content-Type: application/json\r\n";
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return bytes + "\r\n" + body;
}

base::Duration connectTimeoutOf(const Call& call)
{
  return call.connectTimeout > base::Duration::zero() ? call.connectTimeout : call.timeout;
}

} // namespace

struct CallClient::Pending
{
  Pending(asio::io_context& context, Call c, Finished f, base::TimePoint now)
    : timer(context)
    , call(std::move(c))
    , finished(std::move(f))
    , begunAt(now)
    , endsAt(now + std::max(call.timeout, call.maxDuration))
  {
  }

  asio::steady_timer timer;
  Call call;
  Finished finished;
  base::TimePoint begunAt;
  base::TimePoint endsAt;
  // Null while the call waits for a connection.
  std::shared_ptr<ServerConnection> connection;
  // Bytes of the answer when the timer was last started.
  std::size_t receivedBytes = 0;
};

// A new connection on which the server hasn't answered yet.
struct CallClient::Opening
{
  Opening(asio::io_context& context, const dispatch::Endpoint& e, const BufferQuota& quota)
    : timer(context)
    , endpoint(e)
    , connection(std::make_shared<ServerConnection>(context, e, quota))
  {
  }

  asio::steady_timer timer;
  dispatch::Endpoint endpoint;
  std::shared_ptr<ServerConnection> connection;
  bool isEnded = false;
};

// The connections to one address, and the calls that wait for one.
struct CallClient::Destination
{
  IdleConnections idle;
  std::deque<std::shared_ptr<Pending>> waiting;
  std::size_t openings = 0;
};

CallClient::CallClient(asio::io_context& context, const BufferQuota& quota)
  : context_(context)
  , quota_(quota)
{
}

CallClient::~CallClient() = default;

void CallClient::call(Call call, Finished finished)
{
  const base::TimePoint now = clockNow();
  const auto pending =
    std::make_shared<Pending>(context_, std::move(call), std::move(finished), now);
  awaitTimeout(pending);
  Destination& destination = destinationOf(pending->call.endpoint);
  auto connection = destination.idle.take(now);
  if (connection && pending->call.needsNewConnection) {
    // The new connection takes the place of an idle one, since servers limit their number.
    connection->abandon();
    connection = nullptr;
  }
  if (!connection && pending->call.opening) {
    destination.waiting.push_back(pending);
    openConnection(pending->call);
    return;
  }
  start(pending,
        connection ? connection
                   : std::make_shared<ServerConnection>(context_, pending->call.endpoint, quota_));
}

void CallClient::start(const std::shared_ptr<Pending>& pending,
                       const std::shared_ptr<ServerConnection>& connection)
{
  const Call& call = pending->call;
  pending->connection = connection;
  connection->setMaxAnswerBytes(call.maxAnswerBytes);
  connection->setSendCondition(call.maySend);
  connection->exchange(
    textOf(call, call.path, call.body, call.requestId),
    call.requestId,
    false,
    clockNow() + connectTimeoutOf(call),
    [this, pending](ExchangeResult result) { onEnded(*pending, std::move(result)); });
}

void CallClient::onEnded(Pending& pending, ExchangeResult result)
{
  const bool needsId = !pending.call.requestId.empty();
  Destination& destination = destinationOf(pending.call.endpoint);
  if (needsId) {
    count(result);
  }
  if (result.reusable) {
    if (needsId && !result.isIdentified) {
      pending.connection->acceptUnidentifiedAnswers();
    }
    destination.idle.put(pending.connection);
  }
  finish(pending, std::move(result));
  serveWaiting(destination);
}

void CallClient::openConnection(const Call& call)
{
  Destination& destination = destinationOf(call.endpoint);
  if (destination.openings >= destination.waiting.size() + kMaxSpareOpenings) {
    return;
  }
  ++destination.openings;
  const auto opening = std::make_shared<Opening>(context_, call.endpoint, quota_);
  opening->timer.expires_after(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(kOpeningTimeout));
  opening->timer.async_wait([this, opening](const error_code& error) {
    if (!error && !opening->isEnded) {
      opening->connection->abandon();
      onOpened(*opening, {});
    }
  });
  const std::string id = call.requestId.empty() ? "" : call.requestId + "-opening";
  opening->connection->setMaxAnswerBytes(call.maxAnswerBytes);
  opening->connection->exchange(
    textOf(call, call.opening->path, call.opening->body, id),
    id,
    false,
    clockNow() + connectTimeoutOf(call),
    [this, opening](ExchangeResult result) { onOpened(*opening, std::move(result)); });
}

void CallClient::onOpened(Opening& opening, ExchangeResult result)
{
  Destination& destination = destinationOf(opening.endpoint);
  opening.isEnded = true;
  opening.timer.cancel();
  --destination.openings;
  const bool isMisdirected =
    result.end == ExchangeEnd::Answered && wire::isMisdirected(result.answer.status);
  if (result.reusable && !isMisdirected) {
    if (!result.isIdentified) {
      opening.connection->acceptUnidentifiedAnswers();
    }
    destination.idle.put(opening.connection);
    serveWaiting(destination);
    return;
  }
  if (result.reusable) {
    opening.connection->abandon();
  }
  if (destination.waiting.empty()) {
    return;
  }
  // A call that waits has not been sent, unless the answer tells that another server is here.
  if (!isMisdirected) {
    result.end = ExchangeEnd::NotSent;
  }
  const std::shared_ptr<Pending> pending = destination.waiting.front();
  destination.waiting.pop_front();
  finish(*pending, std::move(result));
}

void CallClient::serveWaiting(Destination& destination)
{
  while (!destination.waiting.empty()) {
    const auto connection = destination.idle.take(clockNow());
    if (!connection) {
      return;
    }
    const std::shared_ptr<Pending> pending = destination.waiting.front();
    destination.waiting.pop_front();
    start(pending, connection);
  }
}

void CallClient::finish(Pending& pending, ExchangeResult result)
{
  pending.timer.cancel();
  if (pending.finished) {
    const Finished done = std::move(pending.finished);
    pending.finished = nullptr;
    done(std::move(result));
  }
}

void CallClient::awaitTimeout(const std::shared_ptr<Pending>& pending)
{
  const base::TimePoint now = clockNow();
  pending->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
    std::min(pending->call.timeout, pending->endsAt - now)));
  pending->timer.async_wait([this, pending](const error_code& error) {
    if (error || !pending->finished) {
      return;
    }
    const std::size_t received = pending->connection ? pending->connection->receivedBytes() : 0;
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
  Destination& destination = destinationOf(pending.call.endpoint);
  ExchangeResult result;
  result.timedOut = true;
  if (pending.connection) {
    const ServerConnection& connection = *pending.connection;
    result.end = connection.sendStarted() ? ExchangeEnd::Broken : ExchangeEnd::NotSent;
    result.reused = connection.reused();
    result.connectionAge = connection.age(clockNow());
    result.idleClosed = destination.idle.closeUnconfirmedSince(pending.begunAt);
    pending.connection->abandon();
  } else {
    std::erase_if(destination.waiting,
                  [&](const auto& waiting) { return waiting.get() == &pending; });
  }
  finish(pending, std::move(result));
}

void CallClient::post(std::function<void()> function)
{
  asio::post(context_, std::move(function));
}

void CallClient::closeIdle(const dispatch::Endpoint& endpoint)
{
  destinationOf(endpoint).idle.closeAll();
}

CallAnswers CallClient::answers() const
{
  CallAnswers result = answers_;
  for (const auto& [endpoint, destination] : destinations_) {
    result.unasked += destination->idle.unaskedAnswers();
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

CallClient::Destination& CallClient::destinationOf(const dispatch::Endpoint& endpoint)
{
  std::unique_ptr<Destination>& destination = destinations_[{ endpoint.ip, endpoint.port }];
  if (!destination) {
    destination = std::make_unique<Destination>();
  }
  return *destination;
}

} // namespace sycamore::entry

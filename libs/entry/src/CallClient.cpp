#include <entry/CallClient.h>

#include <entry/SteadyTime.h>

#include <wire/ServerProtocol.h>

#include <algorithm>
#include <utility>

namespace sycamore::entry {

namespace {

// Time after which a connection is given up on which the server hasn't answered the opening call:
// another one may be read sooner.
constexpr base::Duration kOpeningTimeout = base::milliseconds(2000);
// The same for a connection on which it has answered another call, and which it therefore reads.
constexpr base::Duration kSeparationTimeout = base::milliseconds(300);
// Time after which a server that has accepted an opening call is asked again: another process may
// have its address.
constexpr base::Duration kDirectCallsDuration = base::milliseconds(5000);
// Maximum number of connections that are being opened to one address beyond the number of calls
// that wait for them.
constexpr std::size_t kMaxSpareOpenings = 2;

std::string textOf(const Call& call, const OpeningCall& content, const std::string& requestId)
{
  std::string bytes = call.method + " " + content.path + " HTTP/1.1\r\nHost: " + call.endpoint.ip +
                      ":" + std::to_string(call.endpoint.port) + "\r\n";
  bytes += content.headers;
  if (!requestId.empty()) {
    wire::appendRequestId(bytes, requestId);
  }
  if (!content.body.empty()) {
    bytes += "Content-Type: application/json\r\n";
    bytes += "Content-Length: " + std::to_string(content.body.size()) + "\r\n";
  }
  return bytes + "\r\n" + content.body;
}

bool isSuccess(unsigned status)
{
  return status >= 200 && status < 300;
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

// A connection that carries an opening call, as its first one or after another call.
struct CallClient::Opening
{
  Opening(asio::io_context& context,
          const dispatch::Endpoint& e,
          std::shared_ptr<ServerConnection> c)
    : timer(context)
    , endpoint(e)
    , connection(std::move(c))
    , isFirst(!connection->open())
  {
  }

  asio::steady_timer timer;
  dispatch::Endpoint endpoint;
  std::shared_ptr<ServerConnection> connection;
  // Whether no other call came before it.
  bool isFirst;
  bool isEnded = false;
};

// The connections to one address, and the calls that wait for one.
struct CallClient::Destination
{
  IdleConnections idle;
  std::deque<std::shared_ptr<Pending>> waiting;
  // Opening calls in progress on new connections, and on others.
  std::size_t openings = 0;
  std::size_t separations = 0;
  // Bytes of opening calls that aren't yet part of a call's result.
  std::size_t openingBytes = 0;
  // Time until which calls are written to new connections at once, since the server has accepted an
  // opening call.
  base::TimePoint opensNothingUntil{};

  bool needsOpenings(base::TimePoint now) const { return now >= opensNothingUntil; }
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
  const Call& begun = pending->call;
  if (connection) {
    start(pending, connection);
  } else if (begun.opening && !begun.needsNewConnection && destination.needsOpenings(now)) {
    destination.waiting.push_back(pending);
    openConnection(begun);
  } else {
    start(pending, newConnection(begun.endpoint));
  }
}

std::shared_ptr<ServerConnection> CallClient::newConnection(const dispatch::Endpoint& endpoint)
{
  return std::make_shared<ServerConnection>(context_, endpoint, quota_);
}

void CallClient::start(const std::shared_ptr<Pending>& pending,
                       const std::shared_ptr<ServerConnection>& connection)
{
  const Call& call = pending->call;
  pending->connection = connection;
  connection->setMaxAnswerBytes(call.maxAnswerBytes);
  connection->setSendCondition(call.maySend);
  connection->exchange(
    textOf(call, { call.path, call.headers, call.body }, call.requestId),
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
  result.bytes += std::exchange(destination.openingBytes, 0);
  const bool isReusable = result.reusable;
  const bool needsSeparation = needsId && !result.isIdentified;
  if (isReusable && !needsSeparation) {
    destination.idle.put(pending.connection);
  }
  finish(pending, std::move(result));
  if (isReusable && needsSeparation) {
    separate(pending, destination);
  }
  serveWaiting(destination);
}

// A copy of the answer comes where the next one is expected. There it has to be told from it.
void CallClient::separate(const Pending& pending, const Destination& destination)
{
  if (pending.call.opening && destination.needsOpenings(clockNow())) {
    pending.connection->acceptUnidentifiedAnswers();
    sendOpening(pending.call, pending.connection, kSeparationTimeout);
  } else {
    pending.connection->abandon();
  }
}

void CallClient::openConnection(const Call& call)
{
  const Destination& destination = destinationOf(call.endpoint);
  const std::size_t others = destination.separations;
  if (others < destination.waiting.size() &&
      destination.openings + others < destination.waiting.size() + kMaxSpareOpenings) {
    sendOpening(call, newConnection(call.endpoint), kOpeningTimeout);
  }
}

void CallClient::sendOpening(const Call& call,
                             const std::shared_ptr<ServerConnection>& connection,
                             base::Duration timeout)
{
  Destination& destination = destinationOf(call.endpoint);
  const auto opening = std::make_shared<Opening>(context_, call.endpoint, connection);
  ++(opening->isFirst ? destination.openings : destination.separations);
  opening->timer.expires_after(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
  opening->timer.async_wait([this, opening](const error_code& error) {
    if (!error && !opening->isEnded) {
      opening->connection->abandon();
      ExchangeResult result;
      result.timedOut = true;
      onOpened(*opening, std::move(result));
    }
  });
  const std::string id = call.requestId.empty() ? "" : call.requestId + "-opening";
  connection->setMaxAnswerBytes(call.maxAnswerBytes);
  connection->exchange(
    textOf(call, *call.opening, id),
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
  --(opening.isFirst ? destination.openings : destination.separations);
  destination.openingBytes += result.bytes;
  const unsigned status = result.end == ExchangeEnd::Answered ? result.answer.status : 0;
  const bool isToldApart = result.isIdentified || (status != 0 && !isSuccess(status));
  if (result.reusable && isToldApart) {
    opening.connection->acceptUnidentifiedAnswers();
    useOpened(destination, opening.connection);
    return;
  }
  if (result.reusable) {
    opening.connection->abandon();
  }
  if (!opening.isFirst) {
    if (!destination.waiting.empty()) {
      openConnection(destination.waiting.front()->call);
    }
    return;
  }
  if (result.reusable) {
    destination.opensNothingUntil = clockNow() + kDirectCallsDuration;
  }
  if (!result.timedOut) {
    onNotOpened(destination, std::move(result));
  }
}

// The first call is written at once, even if the server closes idle connections soon.
void CallClient::useOpened(Destination& destination,
                           const std::shared_ptr<ServerConnection>& connection)
{
  dropExpired(destination);
  if (destination.waiting.empty()) {
    destination.idle.put(connection);
    return;
  }
  startWaiting(destination, connection);
}

// Ends the call that has waited longest, since no connection could be opened for it.
void CallClient::onNotOpened(Destination& destination, ExchangeResult result)
{
  if (destination.waiting.empty()) {
    return;
  }
  if (!destination.needsOpenings(clockNow())) {
    startWaiting(destination, newConnection(destination.waiting.front()->call.endpoint));
    return;
  }
  const std::shared_ptr<Pending> pending = destination.waiting.front();
  destination.waiting.pop_front();
  result.end = ExchangeEnd::NotSent;
  finish(*pending, std::move(result));
}

void CallClient::serveWaiting(Destination& destination)
{
  for (dropExpired(destination); !destination.waiting.empty(); dropExpired(destination)) {
    const auto connection = destination.idle.take(clockNow());
    if (!connection) {
      return;
    }
    startWaiting(destination, connection);
  }
}

// Ends the first calls as long as they must not be sent any more, which would cost a connection.
void CallClient::dropExpired(Destination& destination)
{
  while (!destination.waiting.empty()) {
    const std::shared_ptr<Pending> pending = destination.waiting.front();
    if (!pending->call.maySend || pending->call.maySend()) {
      return;
    }
    destination.waiting.pop_front();
    finish(*pending, {});
  }
}

// The call has its whole timeout from now on, so that it isn't given up right after it was written.
void CallClient::startWaiting(Destination& destination,
                              const std::shared_ptr<ServerConnection>& connection)
{
  const std::shared_ptr<Pending> pending = destination.waiting.front();
  destination.waiting.pop_front();
  pending->begunAt = clockNow();
  pending->endsAt = pending->begunAt + std::max(pending->call.timeout, pending->call.maxDuration);
  awaitTimeout(pending);
  start(pending, connection);
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

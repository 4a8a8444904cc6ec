#include <entry/CallerConnection.h>

#include <entry/SteadyTime.h>

#include <entry/RequestHandler.h>

#include <boost/asio/write.hpp>

namespace sycamore::entry {

namespace {

// Maximum number of bytes read ahead while a request is being handled.
constexpr std::size_t kMaxReadAhead = 256 * 1024;
// Time allowed for the caller to close its side after the router has shut down its own.
constexpr base::Duration kCloseTimeout = std::chrono::seconds(1);
// Time after a connection was accepted within which its first request is expected. A caller sends
// it right after connecting; during a drain the connection isn't closed before.
constexpr base::Duration kFirstRequestTimeout = base::milliseconds(500);
// Retry delays for requests that are refused while they are being received: for lack of memory, and
// because this VM stops.
constexpr base::Duration kNoMemoryRetryDelay = base::milliseconds(200);
constexpr base::Duration kStoppingRetryDelay = base::milliseconds(50);
// Time allowed for a caller to receive its answer.
constexpr base::Duration kWriteTimeout = std::chrono::seconds(30);

} // namespace

CallerConnection::CallerConnection(CallerServer& server, tcp::socket socket)
  : server_(server)
  , socket_(std::move(socket))
  , timer_(server.context_)
{
}

void CallerConnection::start()
{
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  requestMemory_ = server_.dispatcher_.requestMemory().reserve();
  firstRequestExpectedUntil_ = clockNow() + kFirstRequestTimeout;
  beginRequest();
  armTimer();
  read();
}

bool CallerConnection::hasActiveRequest() const
{
  if (state_ != State::Reading) {
    return state_ != State::Closing;
  }
  return reader_.begun() || clockNow() < firstRequestExpectedUntil_ || hasUnreadBytes();
}

bool CallerConnection::hasUnreadBytes() const
{
  error_code ignored;
  return !in_.empty() || socket_.available(ignored) > 0;
}

void CallerConnection::closeIdle()
{
  if (!hasActiveRequest()) {
    close();
  } else if (state_ == State::Reading && !reader_.begun() && in_.empty()) {
    deadline_ = std::min(deadline_, clockNow() + kFirstRequestTimeout);
    armTimer();
  }
}

void CallerConnection::endRequest()
{
  if (state_ == State::Handling && requestHandler_) {
    const auto requestHandler = requestHandler_;
    requestHandler->expire();
  } else if (state_ == State::Reading && (reader_.begun() || !in_.empty())) {
    rejectReceiving("this entry VM stops", kStoppingRetryDelay);
  } else if (state_ == State::Reading) {
    close();
  }
}

void CallerConnection::beginRequest()
{
  const auto& limits = server_.dispatcher_.callerLimits();
  state_ = State::Reading;
  continueSent_ = false;
  reader_.start(limits.headerBytes, limits.bodyBytes);
  requestBeganAt_ = clockNow();
  deadline_ = requestBeganAt_ + limits.idleTimeout;
}

void CallerConnection::read()
{
  if (readPending_ || closed_ || in_.size() > kMaxReadAhead) {
    return;
  }
  readPending_ = true;
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = shared_from_this()](const error_code& error, std::size_t count) {
                            self->readPending_ = false;
                            self->onBytes(error, count);
                          });
}

void CallerConnection::onBytes(const error_code& error, std::size_t count)
{
  if (closed_) {
    return;
  }
  if (error) {
    close();
    return;
  }
  if (state_ == State::Closing) {
    read();
    return;
  }
  if (!requestMemory_.tryAdd(count)) {
    rejectForMemory();
    return;
  }
  const bool isFirstByte = state_ == State::Reading && !reader_.begun() && in_.empty();
  in_.append(chunk_.data(), count);
  if (isFirstByte) {
    requestBeganAt_ = clockNow();
    firstRequestExpectedUntil_ = {};
    deadline_ = requestBeganAt_ + server_.dispatcher_.callerLimits().headerTimeout;
    armTimer();
  }
  if (state_ == State::Reading) {
    process();
  }
  read();
}

void CallerConnection::process()
{
  const bool hadHeader = reader_.headerDone();
  switch (reader_.feed(in_)) {
    case ReadState::NeedMore:
      if (reader_.headerDone() && !hadHeader) {
        deadline_ = clockNow() + server_.dispatcher_.callerLimits().idleTimeout;
        armTimer();
      }
      continueIfExpected();
      return;
    case ReadState::Failed:
      rejectMalformed();
      return;
    case ReadState::Done:
      handle();
      return;
  }
}

void CallerConnection::continueIfExpected()
{
  if (continueSent_ || !reader_.headerDone() ||
      !boost::beast::iequals(reader_.message()[http::field::expect], "100-continue")) {
    return;
  }
  continueSent_ = true;
  auto bytes = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
  asio::async_write(socket_,
                    asio::buffer(*bytes),
                    [self = shared_from_this(), bytes](const error_code&, std::size_t) {});
}

void CallerConnection::handle()
{
  Request request = reader_.take();
  keepAlive_ = request.keep_alive();
  headOnly_ = request.method() == http::verb::head;
  state_ = State::Handling;
  deadline_ = base::TimePoint::max();
  armTimer();
  const auto weak = weak_from_this();
  auto requestHandler =
    server_.dispatcher_.handle(std::move(request), requestBeganAt_, [weak](CallerAnswer answer) {
      if (const auto self = weak.lock()) {
        self->respond(std::move(answer));
      }
    });
  if (state_ == State::Handling) {
    requestHandler_ = std::move(requestHandler);
  }
}

void CallerConnection::rejectMalformed()
{
  keepAlive_ = false;
  headOnly_ = false;
  unsigned status = 400;
  if (reader_.error() == http::error::header_limit) {
    status = 431;
  } else if (reader_.error() == http::error::body_limit) {
    status = 413;
  }
  state_ = State::Handling;
  respond(makeAnswer(status, "", reader_.error().message()));
}

// Refuses the request that is being received, before any part of it is sent on. A request that is
// already being handled needs no more bytes: those behind it are dropped and the connection ends
// with its answer.
void CallerConnection::rejectForMemory()
{
  server_.dispatcher_.onRequestMemoryExhausted();
  keepAlive_ = false;
  if (state_ == State::Reading) {
    rejectReceiving("too many requests are in progress here", kNoMemoryRetryDelay);
  }
}

void CallerConnection::rejectReceiving(std::string_view reason, base::Duration retryAfter)
{
  keepAlive_ = false;
  headOnly_ = false;
  state_ = State::Handling;
  respond(makeAnswer(503, "", reason, retryAfter));
}

void CallerConnection::respond(CallerAnswer answer)
{
  requestHandler_.reset();
  if (closed_ || state_ != State::Handling) {
    return;
  }
  // A caller may have sent further requests before it learns that the connection ends with this
  // answer. While the VM stops, they are answered too.
  const bool close = !keepAlive_ || (server_.draining_ && !hasUnreadBytes());
  answerMemory_ = std::move(answer.memory);
  write(writeAnswer(answer, close, headOnly_), close);
}

void CallerConnection::write(std::string bytes, bool close)
{
  state_ = State::Writing;
  deadline_ = clockNow() + kWriteTimeout;
  armTimer();
  out_ = std::move(bytes);
  asio::async_write(socket_,
                    asio::buffer(out_),
                    [self = shared_from_this(), close](const error_code& error, std::size_t) {
                      self->onWritten(error, close);
                    });
}

void CallerConnection::onWritten(const error_code& error, bool close)
{
  if (closed_) {
    return;
  }
  out_.clear();
  out_.shrink_to_fit();
  answerMemory_.clear();
  requestMemory_.clear();
  if (error) {
    this->close();
    return;
  }
  if (close) {
    // The caller still has to read the answer: closing both directions at once could reset the
    // connection before it has.
    state_ = State::Closing;
    in_.clear();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    deadline_ = clockNow() + kCloseTimeout;
    armTimer();
    read();
    return;
  }
  beginRequest();
  armTimer();
  if (!in_.empty()) {
    requestMemory_.tryAdd(in_.size());
    process();
  }
  if (server_.listener_.stopped() && !hasActiveRequest()) {
    this->close();
    return;
  }
  read();
}

// Moves the timer only if the deadline becomes earlier. If the deadline becomes later, the timer
// fires at the old time and is armed again.
void CallerConnection::armTimer()
{
  const auto expiry = toSteadyClock(deadline_);
  if (deadline_ == base::TimePoint::max() || timer_.expiry() <= expiry) {
    if (timer_.expiry() > std::chrono::steady_clock::now()) {
      return;
    }
  }
  if (deadline_ == base::TimePoint::max()) {
    return;
  }
  timer_.expires_at(expiry);
  timer_.async_wait([weak = weak_from_this()](const error_code& error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->onTimer();
    }
  });
}

void CallerConnection::onTimer()
{
  if (closed_) {
    return;
  }
  if (clockNow() < deadline_) {
    armTimer();
    return;
  }
  const bool isReceivingRequest = state_ == State::Reading && (reader_.begun() || !in_.empty());
  if (isReceivingRequest) {
    keepAlive_ = false;
    state_ = State::Handling;
    const auto allowed =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - requestBeganAt_);
    const std::string part = reader_.headerDone() ? "body" : "headers";
    respond(makeAnswer(408,
                       "",
                       "the request's " + part + " did not arrive within " +
                         std::to_string(allowed.count()) + " ms of its start"));
    return;
  }
  close();
}

void CallerConnection::close()
{
  if (closed_) {
    return;
  }
  closed_ = true;
  timer_.cancel();
  requestMemory_.clear();
  answerMemory_.clear();
  if (requestHandler_) {
    requestHandler_->cancel();
    requestHandler_.reset();
  }
  error_code ignored;
  socket_.close(ignored);
  server_.remove(shared_from_this());
}

} // namespace sycamore::entry

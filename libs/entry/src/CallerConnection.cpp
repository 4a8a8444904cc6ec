#include <entry/CallerConnection.h>

#include <entry/HandlerScope.h>
#include <entry/RequestHandler.h>
#include <entry/SteadyTime.h>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace sycamore::entry {

namespace {

// Maximum number of bytes read ahead while requests wait to be begun.
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

// Returns the status for a request that can't be parsed.
unsigned statusOf(const error_code& error)
{
  if (error == http::error::header_limit) {
    return 431;
  }
  return error == http::error::body_limit ? 413 : 400;
}

} // namespace

CallerConnection::CallerConnection(CallerServer& server, tcp::socket socket)
  : server_(server)
  , socket_(std::move(socket))
  , timer_(server.context_)
  , input_(server.dispatcher_.requestMemory())
  , answers_(server.dispatcher_.pipelineMemory(), server.dispatcher_.answerMemory())
{
}

void CallerConnection::start()
{
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  const base::TimePoint now = clockNow();
  firstRequestExpectedUntil_ = now + kFirstRequestTimeout;
  idleDeadline_ = now + server_.dispatcher_.callerLimits().idleTimeout;
  armTimer();
  read();
}

bool CallerConnection::hasActiveRequest() const
{
  return activeRequests() > 0;
}

std::size_t CallerConnection::activeRequests() const
{
  if (isClosing_) {
    return 0;
  }
  const bool isMoreExpected =
    !input_.hasEnded() && (clockNow() < firstRequestExpectedUntil_ || hasUnreadBytes());
  return answers_.size() + (isMoreExpected ? 1 : 0);
}

bool CallerConnection::hasUnreadBytes() const
{
  error_code ignored;
  return !input_.hasEnded() && (input_.hasBytes() || socket_.available(ignored) > 0);
}

void CallerConnection::closeIdle()
{
  if (!hasActiveRequest()) {
    close();
  } else if (answers_.empty() && !input_.hasBytes()) {
    idleDeadline_ = std::min(idleDeadline_, clockNow() + kFirstRequestTimeout);
    armTimer();
  }
}

void CallerConnection::endRequests()
{
  if (answers_.empty() && !input_.hasBytes() && !isWriting_ && !isClosing_) {
    close();
    return;
  }
  const auto self = shared_from_this();
  const auto handlers = handlers_;
  for (const auto& [number, handler] : handlers) {
    handler->expire();
  }
  if (input_.isReceiving()) {
    rejectReceiving(makeAnswer(503, "", "this entry VM stops", kStoppingRetryDelay));
  }
}

void CallerConnection::read()
{
  // The limits bound the bytes of a request that is being received.
  const bool mayRead = input_.isReceiving() || input_.unreadBytes() <= kMaxReadAhead;
  if (readPending_ || closed_ || !mayRead) {
    return;
  }
  readPending_ = true;
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = shared_from_this()](const error_code& error, std::size_t count) {
                            self->readPending_ = false;
                            self->closeOnFailure([&] { self->onBytes(error, count); });
                          });
}

void CallerConnection::onBytes(const error_code& error, std::size_t count)
{
  const HandlerScope scope("caller_bytes");
  if (closed_) {
    return;
  }
  if (error) {
    close();
    return;
  }
  if (!input_.hasEnded()) {
    firstRequestExpectedUntil_ = {};
    if (input_.tryAppend({ chunk_.data(), count }, clockNow())) {
      advance();
    } else {
      rejectForMemory();
    }
  }
  read();
}

void CallerConnection::advance()
{
  // A request that is refused at once is answered while it is being begun.
  if (isAdvancing_) {
    return;
  }
  isAdvancing_ = true;
  while (!closed_ && tryBeginNext()) {
  }
  isAdvancing_ = false;
  writeNext();
  armTimer();
  read();
}

bool CallerConnection::tryBeginNext()
{
  if (input_.hasEnded()) {
    return false;
  }
  switch (input_.parse(server_.dispatcher_.callerLimits(), clockNow())) {
    case ReadState::NeedMore:
      continueIfExpected();
      return false;
    case ReadState::Failed:
      rejectMalformed();
      return false;
    case ReadState::Done:
      break;
  }
  if (!mayBeginNext()) {
    return false;
  }
  beginNext();
  return true;
}

bool CallerConnection::mayBeginNext()
{
  if (answers_.empty()) {
    return true;
  }
  Dispatcher& dispatcher = server_.dispatcher_;
  const BeginDecision decision = answers_.decide(dispatcher.repeatabilityOf(input_.complete()));
  if (decision == BeginDecision::Begin) {
    dispatcher.onPipelined();
  } else if (decision == BeginDecision::AwaitRoom && !std::exchange(isWaitCounted_, true)) {
    dispatcher.onPipelineFull();
  }
  return decision == BeginDecision::Begin;
}

void CallerConnection::beginNext()
{
  ReceivedRequest received = input_.take();
  isWaitCounted_ = false;
  if (!received.request.isKeepAlive) {
    input_.end();
  }
  const RequestNumber number =
    answers_.begin(received.request.method == "HEAD", std::move(received.memory));
  const auto weak = weak_from_this();
  auto handler = server_.dispatcher_.handle(
    std::move(received.request), received.beganAt, [weak, number](CallerAnswer answer) {
      if (const auto self = weak.lock()) {
        self->closeOnFailure([&] { self->onAnswer(number, std::move(answer)); });
      }
    });
  answers_.setRepeatability(number, handler->repeatability());
  if (!handler->isDone()) {
    handlers_[number] = std::move(handler);
  }
}

// The interim answer would be taken for the one to an earlier request while there is any.
void CallerConnection::continueIfExpected()
{
  if (!input_.expectsContinue() || !answers_.empty() || isWriting_) {
    return;
  }
  input_.onContinueSent(server_.dispatcher_.callerLimits(), clockNow());
  isWritingAnswer_ = false;
  write("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::rejectMalformed()
{
  const error_code error = input_.error();
  rejectReceiving(makeAnswer(statusOf(error), "", error.message()));
}

// Refuses the request that is being received, before any part of it is sent on. If requests in
// front are still open and the bytes belong to ones that wait, these are dropped and the connection
// ends with the last answer.
void CallerConnection::rejectForMemory()
{
  server_.dispatcher_.onRequestMemoryExhausted();
  if (!answers_.empty() && !input_.isReceiving()) {
    input_.end();
    return;
  }
  rejectReceiving(
    makeAnswer(503, "", "too many requests are in progress here", kNoMemoryRetryDelay));
}

void CallerConnection::rejectReceiving(CallerAnswer answer)
{
  input_.end();
  answers_.onAnswer(answers_.begin(false), std::move(answer));
  advance();
}

void CallerConnection::onAnswer(RequestNumber number, CallerAnswer answer)
{
  handlers_.erase(number);
  if (closed_) {
    return;
  }
  answers_.onAnswer(number, std::move(answer));
  advance();
}

void CallerConnection::writeNext()
{
  if (closed_ || isWriting_) {
    return;
  }
  auto next = answers_.takeNext();
  if (!next) {
    return;
  }
  // A caller may have sent further requests before it learns that the connection ends with this
  // answer. While the VM stops, they are answered too.
  const bool close =
    next->isLast && (input_.hasEnded() || (server_.draining_ && !hasUnreadBytes()));
  if (close) {
    input_.end();
  }
  isWritingAnswer_ = true;
  outMemory_ = std::move(next->answer.memory);
  write(writeAnswer(next->answer, close, next->headOnly));
}

void CallerConnection::write(std::string bytes)
{
  isWriting_ = true;
  writeDeadline_ = clockNow() + kWriteTimeout;
  out_ = std::move(bytes);
  asio::async_write(
    socket_, asio::buffer(out_), [self = shared_from_this()](const error_code& error, std::size_t) {
      self->closeOnFailure([&] { self->onWritten(error); });
    });
}

void CallerConnection::onWritten(const error_code& error)
{
  const HandlerScope scope("caller_written");
  if (closed_) {
    return;
  }
  isWriting_ = false;
  out_.clear();
  out_.shrink_to_fit();
  outMemory_.clear();
  if (error) {
    close();
    return;
  }
  if (isWritingAnswer_) {
    onAnswerWritten();
  } else {
    advance();
  }
}

void CallerConnection::onAnswerWritten()
{
  answers_.pop();
  if (answers_.empty() && input_.hasEnded()) {
    finish();
    return;
  }
  if (answers_.empty()) {
    idleDeadline_ = clockNow() + server_.dispatcher_.callerLimits().idleTimeout;
  }
  advance();
  if (server_.listener_.stopped() && !hasActiveRequest()) {
    close();
  }
}

// The caller still has to read the answer: closing both directions at once could reset the
// connection before it has.
void CallerConnection::finish()
{
  isClosing_ = true;
  input_.end();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  closeDeadline_ = clockNow() + kCloseTimeout;
  armTimer();
  read();
}

base::TimePoint CallerConnection::deadline() const
{
  if (isClosing_) {
    return closeDeadline_;
  }
  base::TimePoint deadline = input_.deadline();
  if (isWriting_) {
    deadline = std::min(deadline, writeDeadline_);
  } else if (answers_.empty() && !input_.hasBytes()) {
    deadline = std::min(deadline, idleDeadline_);
  }
  return deadline;
}

// Moves the timer only if the deadline becomes earlier. If the deadline becomes later, the timer
// fires at the old time and is armed again.
void CallerConnection::armTimer()
{
  const base::TimePoint due = deadline();
  if (closed_ || due >= timerAt_) {
    return;
  }
  timerAt_ = due;
  timer_.expires_at(toSteadyClock(due));
  timer_.async_wait([weak = weak_from_this()](const error_code& error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->closeOnFailure([&] { self->onTimer(); });
    }
  });
}

void CallerConnection::onTimer()
{
  const HandlerScope scope("caller_timer");
  timerAt_ = base::TimePoint::max();
  const base::TimePoint now = clockNow();
  if (closed_ || now < deadline()) {
    armTimer();
    return;
  }
  if (!isClosing_ && input_.deadline() <= now) {
    const auto allowed =
      std::chrono::duration_cast<std::chrono::milliseconds>(input_.deadline() - input_.beganAt());
    const std::string part = input_.headersDone() ? "body" : "headers";
    rejectReceiving(makeAnswer(408,
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
  input_.end();
  outMemory_.clear();
  const auto handlers = std::move(handlers_);
  handlers_.clear();
  for (const auto& [number, handler] : handlers) {
    handler->cancel();
  }
  error_code ignored;
  socket_.close(ignored);
  server_.remove(shared_from_this());
}

} // namespace sycamore::entry

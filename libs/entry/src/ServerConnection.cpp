#include <entry/ServerConnection.h>

#include <entry/HandlerScope.h>
#include <entry/SteadyTime.h>

#include <wire/ServerProtocol.h>

#include <boost/asio/write.hpp>

#include <charconv>
#include <utility>

namespace sycamore::entry {

namespace {

constexpr std::uint32_t kAnswerHeaderLimit = 64 * 1024;
// Maximum number of interim answers and answers to other requests that one exchange skips. A server
// that sends more would otherwise keep the connection busy until the caller's deadline.
constexpr unsigned kMaxSkippedAnswers = 16;
// Time for which an idle connection may be reused if the server announces no idle timeout.
constexpr base::Duration kDefaultIdleTimeout = std::chrono::seconds(4);
// Idle connections are no longer reused this long before the server closes them, since a request
// could arrive just after the server's close.
constexpr base::Duration kIdleMargin = std::chrono::seconds(1);
// Time for which a new connection waits for a reset before a request is sent on it: some round
// trips between failure domains, and little beside the processing time of a request.
constexpr base::Duration kEarlyResetWait = base::milliseconds(5);

// Returns the timeout announced by the Keep-Alive header less the margin, or the default.
base::Duration announcedIdleTimeout(const ServerAnswer& answer)
{
  const std::string_view text = answer.fields.valueOf("Keep-Alive");
  const std::size_t at = text.find("timeout=");
  if (at == std::string_view::npos) {
    return kDefaultIdleTimeout;
  }
  const std::string_view number = text.substr(at + 8);
  unsigned seconds = 0;
  std::from_chars(number.data(), number.data() + number.size(), seconds);
  return std::max<base::Duration>(base::Duration::zero(),
                                  std::chrono::seconds(seconds) - kIdleMargin);
}

// Returns why an answer that arrived can't be used.
std::string faultOf(const AnswerReader& reader)
{
  return reader.error() ? reader.error().message() : "it can't be told which request it answers";
}

bool isLimitError(const error_code& error)
{
  return error == http::error::header_limit || error == http::error::body_limit;
}

} // namespace

ServerConnection::ServerConnection(asio::io_context& context,
                                   const dispatch::Endpoint& server,
                                   const BufferQuota& quota)
  : socket_(context)
  , connectTimer_(context)
  , server_(server)
  , quota_(quota)
{
}

void ServerConnection::exchange(std::string bytes,
                                std::string requestId,
                                bool headOnly,
                                base::TimePoint connectDeadline,
                                Finished finished)
{
  out_ = std::move(bytes);
  exchangedBytes_ = 0;
  receivedBytes_ = 0;
  memory_ = quota_.reserve();
  skippedAnswers_ = 0;
  foreignAnswers_ = 0;
  ++exchanges_;
  requestId_ = std::move(requestId);
  headOnly_ = headOnly;
  finished_ = std::move(finished);
  idleEndListener_ = nullptr;
  sendStarted_ = false;
  requestWritten_ = false;
  isIdentified_ = false;
  reader_.start(kAnswerHeaderLimit, maxAnswerBytes_, headOnly_);
  if (isOpen_) {
    send();
  } else {
    connect(connectDeadline);
  }
}

void ServerConnection::connect(base::TimePoint connectDeadline)
{
  connectTimer_.expires_at(toSteadyClock(connectDeadline));
  connectTimer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error && !self->isOpen_) {
      self->endOnFailure([&] { self->finish(ExchangeEnd::NotSent); });
    }
  });
  error_code ignored;
  const tcp::endpoint endpoint(asio::ip::make_address(server_.ip, ignored), server_.port);
  socket_.async_connect(endpoint, [self = shared_from_this()](const error_code& error) {
    self->endOnFailure([&] { self->onConnected(error); });
  });
}

void ServerConnection::onConnected(const error_code& error)
{
  connectTimer_.cancel();
  if (closed_ || !finished_) {
    return;
  }
  if (error) {
    finish(ExchangeEnd::NotSent);
    return;
  }
  error_code optionError;
  socket_.set_option(tcp::no_delay(true), optionError);
  isOpen_ = true;
  openedAt_ = clockNow();
  if (awaitsEarlyReset_) {
    sendUnlessReset();
  } else {
    send();
  }
}

void ServerConnection::sendUnlessReset()
{
  read();
  connectTimer_.expires_at(toSteadyClock(openedAt_ + kEarlyResetWait));
  connectTimer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error && !self->closed_ && self->finished_) {
      self->endOnFailure([&] { self->send(); });
    }
  });
}

// Writes and reads concurrently, since a server may answer before it has read a long body.
void ServerConnection::send()
{
  if (sendCondition_ && !std::exchange(sendCondition_, nullptr)()) {
    finish(ExchangeEnd::NotSent);
    return;
  }
  sendStarted_ = true;
  exchangedBytes_ += out_.size();
  asio::async_write(
    socket_,
    asio::buffer(out_),
    [self = shared_from_this(), exchange = exchanges_](const error_code& error, std::size_t count) {
      if (exchange != self->exchanges_) {
        return;
      }
      self->requestWritten_ = !error;
      if (error && count == 0) {
        self->endOnFailure([&] { self->finish(ExchangeEnd::NotSent); });
      }
      // Otherwise, the next read ends, after any bytes that can still be read. It may show an
      // orderly end though the connection was reset: the failed write has taken the error of the
      // socket.
    });
  if (!readPending_) {
    read();
  }
}

void ServerConnection::read()
{
  readPending_ = true;
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = shared_from_this()](const error_code& error, std::size_t count) {
                            self->readPending_ = false;
                            self->endOnFailure([&] { self->onBytes(error, count); });
                          });
}

void ServerConnection::onBytes(const error_code& error, std::size_t count)
{
  const HandlerScope scope("server_answer");
  if (closed_) {
    return;
  }
  if (!finished_) {
    // The idle connection was closed, or received bytes without a request in progress.
    close();
    if (idleEndListener_) {
      const auto idleEndListener = std::move(idleEndListener_);
      idleEndListener_ = nullptr;
      idleEndListener(count);
    }
    return;
  }
  if (!sendStarted_) {
    finish(ExchangeEnd::NotSent);
    return;
  }
  if (!memory_.tryAdd(count)) {
    finish(ExchangeEnd::TooLarge);
    return;
  }
  in_.append(chunk_.data(), count);
  exchangedBytes_ += count;
  receivedBytes_ += count;
  if (error) {
    onEnd(error);
    return;
  }
  switch (reader_.feed(in_)) {
    case ReadState::NeedMore:
      read();
      return;
    case ReadState::Failed:
      finish(isLimitError(reader_.error()) ? ExchangeEnd::TooLarge : ExchangeEnd::Malformed);
      return;
    case ReadState::Done:
      onAnswer();
      return;
  }
}

void ServerConnection::onEnd(const error_code& error)
{
  const bool isWhole = error == asio::error::eof && reader_.headerDone() &&
                       reader_.feed(in_) != ReadState::Failed &&
                       reader_.finish() == ReadState::Done && isEndOfAnswer();
  if (!isWhole) {
    finish(ExchangeEnd::Broken);
    return;
  }
  isOpen_ = false;
  onAnswer();
}

bool ServerConnection::isEndOfAnswer() const
{
  const ServerAnswer& answer = reader_.message();
  return requestWritten_ || wire::readAnswerMetadata(answer.status, answer.fields).notRun;
}

void ServerConnection::onAnswer()
{
  const ServerAnswer& answer = reader_.message();
  const auto facts = wire::readAnswerMetadata(answer.status, answer.fields);
  const bool isInterim = answer.status < 200;
  isIdentified_ = !facts.requestId.empty() && facts.requestId == requestId_;
  const bool isForOtherRequest = !facts.requestId.empty() && facts.requestId != requestId_;
  // Without an id, the answer may be a late copy of the answer to an earlier request.
  const bool isAmbiguous =
    facts.requestId.empty() && !requestId_.empty() && exchanges_ > 1 && !acceptsUnidentified_;
  if (!isInterim && !isForOtherRequest) {
    finish(isAmbiguous ? ExchangeEnd::Malformed : ExchangeEnd::Answered);
    return;
  }
  if (!isOpen_) {
    finish(ExchangeEnd::Broken);
    return;
  }
  if (++skippedAnswers_ > kMaxSkippedAnswers) {
    finish(ExchangeEnd::TooLarge);
    return;
  }
  foreignAnswers_ += isForOtherRequest ? 1 : 0;
  // Skip an interim answer or a late answer to an earlier request, and read the next one.
  reader_.start(kAnswerHeaderLimit, maxAnswerBytes_, headOnly_);
  if (in_.empty()) {
    read();
  } else {
    const std::size_t none = 0;
    onBytes({}, none);
  }
}

void ServerConnection::finish(ExchangeEnd end)
{
  if (!finished_) {
    return;
  }
  ExchangeResult result;
  result.end = end;
  result.bytes = exchangedBytes_;
  result.answerBegan = receivedBytes_ > 0;
  result.reused = reused();
  result.isIdentified = isIdentified_;
  result.foreignAnswers = foreignAnswers_;
  result.connectionAge = age(clockNow());
  result.fault = end == ExchangeEnd::Malformed ? faultOf(reader_) : "";
  if (end == ExchangeEnd::Answered) {
    result.answer = reader_.take();
    result.memory = std::move(memory_);
    result.reusable = isOpen_ && requestWritten_ && in_.empty() && result.answer.isKeepAlive;
    lastAnswerAt_ = clockNow();
    reusableUntil_ = lastAnswerAt_ + announcedIdleTimeout(result.answer);
  }
  if (!result.reusable) {
    close();
  }
  const Finished finished = std::move(finished_);
  finished_ = nullptr;
  out_.clear();
  memory_.clear();
  finished(std::move(result));
}

void ServerConnection::abandon()
{
  finished_ = nullptr;
  idleEndListener_ = nullptr;
  memory_.clear();
  close();
}

void ServerConnection::watchIdle(IdleEndListener idleEndListener)
{
  idleEndListener_ = std::move(idleEndListener);
  if (!readPending_) {
    read();
  }
}

// Resets the connection, which drops what isn't sent yet. The server may still read what it has
// received.
void ServerConnection::close()
{
  if (closed_) {
    return;
  }
  closed_ = true;
  isOpen_ = false;
  in_.clear();
  connectTimer_.cancel();
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

} // namespace sycamore::entry

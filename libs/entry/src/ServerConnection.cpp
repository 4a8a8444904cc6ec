#include <entry/ServerConnection.h>

#include <entry/SteadyTime.h>

#include <wire/ServerProtocol.h>

#include <boost/asio/write.hpp>

#include <charconv>
#include <utility>

namespace sycamore::entry {

namespace {

constexpr std::uint32_t kAnswerHeaderLimit = 64 * 1024;
constexpr std::uint64_t kAnswerBodyLimit = 64 * 1024 * 1024;
// Time for which an idle connection is used again when the server doesn't say how long it lasts.
constexpr base::Duration kAssumedIdle = std::chrono::seconds(4);
// Connections are given up this long before the server closes them, since a request may cross the
// close on its way.
constexpr base::Duration kIdleMargin = std::chrono::seconds(1);

// The timeout parameter of a Keep-Alive header.
base::Duration announcedIdle(const ServerAnswer& answer)
{
  const auto found = answer.find(http::field::keep_alive);
  if (found == answer.end()) {
    return kAssumedIdle;
  }
  const std::string_view text = view(found->value());
  const std::size_t at = text.find("timeout=");
  if (at == std::string_view::npos) {
    return kAssumedIdle;
  }
  const std::string_view number = text.substr(at + 8);
  unsigned seconds = 0;
  std::from_chars(number.data(), number.data() + number.size(), seconds);
  return std::max<base::Duration>(base::Duration::zero(),
                                  std::chrono::seconds(seconds) - kIdleMargin);
}

} // namespace

ServerConnection::ServerConnection(asio::io_context& context, const dispatch::Endpoint& server)
  : socket_(context)
  , connectTimer_(context)
  , server_(server)
{
}

void ServerConnection::exchange(std::string bytes,
                                std::string requestId,
                                bool headOnly,
                                base::TimePoint connectBy,
                                Finished finished)
{
  out_ = std::move(bytes);
  requestId_ = std::move(requestId);
  headOnly_ = headOnly;
  finished_ = std::move(finished);
  ended_ = nullptr;
  sent_ = false;
  written_ = false;
  reader_.start(kAnswerHeaderLimit, kAnswerBodyLimit, headOnly_);
  if (open_) {
    send();
  } else {
    connect(connectBy);
  }
}

void ServerConnection::connect(base::TimePoint connectBy)
{
  connectTimer_.expires_at(toSteadyClock(connectBy));
  connectTimer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error && !self->open_) {
      self->finish(ExchangeEnd::NotSent);
    }
  });
  error_code ignored;
  const tcp::endpoint endpoint(asio::ip::make_address(server_.ip, ignored), server_.port);
  socket_.async_connect(endpoint, [self = shared_from_this()](const error_code& error) {
    self->connectTimer_.cancel();
    if (self->closed_ || !self->finished_) {
      return;
    }
    if (error) {
      self->finish(ExchangeEnd::NotSent);
      return;
    }
    error_code optionError;
    self->socket_.set_option(tcp::no_delay(true), optionError);
    self->open_ = true;
    self->send();
  });
}

// Writes and reads at the same time, since a server may answer before it has read a long body.
void ServerConnection::send()
{
  sent_ = true;
  if (sending_) {
    std::exchange(sending_, nullptr)();
  }
  asio::async_write(
    socket_, asio::buffer(out_), [self = shared_from_this()](const error_code& error, std::size_t) {
      // A write that fails shows as a failed read, after the bytes that may still
      // be there to read.
      self->written_ = !error;
    });
  if (!reading_) {
    read();
  }
}

void ServerConnection::read()
{
  reading_ = true;
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = shared_from_this()](const error_code& error, std::size_t count) {
                            self->reading_ = false;
                            self->onBytes(error, count);
                          });
}

void ServerConnection::onBytes(const error_code& error, std::size_t count)
{
  if (closed_) {
    return;
  }
  if (!finished_) {
    // Idle: an end, or bytes that nobody asked for.
    close();
    if (ended_) {
      const auto ended = std::move(ended_);
      ended_ = nullptr;
      ended();
    }
    return;
  }
  in_.append(chunk_.data(), count);
  if (error) {
    const bool whole = error == asio::error::eof && reader_.headerDone() &&
                       reader_.feed(in_) != ReadState::Failed &&
                       reader_.finish() == ReadState::Done;
    if (whole) {
      open_ = false;
      onAnswer();
    } else {
      finish(ExchangeEnd::Broken);
    }
    return;
  }
  switch (reader_.feed(in_)) {
    case ReadState::NeedMore:
      read();
      return;
    case ReadState::Failed:
      finish(ExchangeEnd::Malformed);
      return;
    case ReadState::Done:
      onAnswer();
      return;
  }
}

void ServerConnection::onAnswer()
{
  const ServerAnswer& answer = reader_.message();
  const auto facts = wire::readAnswerFacts(answer.result_int(), answer);
  const bool interim = answer.result_int() < 200;
  const bool otherRequest = !facts.requestId.empty() && facts.requestId != requestId_;
  if (!interim && !otherRequest) {
    finish(ExchangeEnd::Answered);
    return;
  }
  if (!open_) {
    finish(ExchangeEnd::Broken);
    return;
  }
  // A late answer to an earlier request: the next one is ours.
  reader_.start(kAnswerHeaderLimit, kAnswerBodyLimit, headOnly_);
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
  if (end == ExchangeEnd::Answered) {
    result.answer = reader_.take();
    result.reusable = open_ && written_ && in_.empty() && result.answer.keep_alive();
    idleUntil_ = clockNow() + announcedIdle(result.answer);
  }
  if (!result.reusable) {
    close();
  }
  const Finished finished = std::move(finished_);
  finished_ = nullptr;
  out_.clear();
  finished(std::move(result));
}

void ServerConnection::abandon()
{
  finished_ = nullptr;
  ended_ = nullptr;
  close();
}

void ServerConnection::watchIdle(std::function<void()> ended)
{
  ended_ = std::move(ended);
  if (!reading_) {
    read();
  }
}

// Resets the connection, so that bytes on their way don't reach the server later.
void ServerConnection::close()
{
  if (closed_) {
    return;
  }
  closed_ = true;
  open_ = false;
  connectTimer_.cancel();
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

} // namespace sycamore::entry

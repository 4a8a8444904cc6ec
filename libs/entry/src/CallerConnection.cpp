#include <entry/CallerConnection.h>

#include <entry/SteadyTime.h>

#include <entry/RequestRun.h>

#include <boost/asio/write.hpp>

namespace sycamore::entry {

namespace {

// Bytes that may wait behind the request that is being handled.
constexpr std::size_t kMaxReadAhead = 256 * 1024;
// Time for the caller to end its side after ours has ended.
constexpr base::Duration kCloseTime = std::chrono::seconds(1);
// Time for a caller to take its answer.
constexpr base::Duration kWriteTime = std::chrono::seconds(30);

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
  beginRequest();
  armTimer();
  read();
}

bool CallerConnection::active() const
{
  const bool begun = state_ == State::Reading && (reader_.begun() || !in_.empty());
  return begun || state_ == State::Handling || state_ == State::Writing;
}

void CallerConnection::closeIdle()
{
  if (!active()) {
    close();
  }
}

void CallerConnection::beginRequest()
{
  const auto& limits = server_.dispatcher_.callerLimits();
  state_ = State::Reading;
  continued_ = false;
  reader_.start(limits.headerBytes, limits.bodyBytes);
  began_ = clockNow();
  deadline_ = began_ + limits.idleTimeout;
}

void CallerConnection::read()
{
  if (reading_ || closed_ || in_.size() > kMaxReadAhead) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = shared_from_this()](const error_code& error, std::size_t count) {
                            self->reading_ = false;
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
  const bool first = state_ == State::Reading && !reader_.begun() && in_.empty();
  in_.append(chunk_.data(), count);
  if (first) {
    began_ = clockNow();
    deadline_ = began_ + server_.dispatcher_.callerLimits().headerTimeout;
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
  if (continued_ || !reader_.headerDone() ||
      !boost::beast::iequals(reader_.message()[http::field::expect], "100-continue")) {
    return;
  }
  continued_ = true;
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
  auto run = server_.dispatcher_.handle(std::move(request), began_, [weak](CallerAnswer answer) {
    if (const auto self = weak.lock()) {
      self->respond(std::move(answer));
    }
  });
  if (state_ == State::Handling) {
    run_ = std::move(run);
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
  respond(ownAnswer(status, "", reader_.error().message()));
}

void CallerConnection::respond(CallerAnswer answer)
{
  run_.reset();
  if (closed_ || state_ != State::Handling) {
    return;
  }
  const bool close = !keepAlive_ || server_.draining_;
  write(writeAnswer(answer, close, headOnly_), close);
}

void CallerConnection::write(std::string bytes, bool close)
{
  state_ = State::Writing;
  deadline_ = clockNow() + kWriteTime;
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
  if (error) {
    this->close();
    return;
  }
  if (close) {
    // The caller still has to read: ending both sides at once could reset the connection.
    state_ = State::Closing;
    in_.clear();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    deadline_ = clockNow() + kCloseTime;
    armTimer();
    read();
    return;
  }
  beginRequest();
  armTimer();
  if (!in_.empty()) {
    process();
  }
  if (server_.listener_.stopped() && !active()) {
    this->close();
    return;
  }
  read();
}

// The timer isn't moved when its deadline becomes later: it looks again when it fires.
void CallerConnection::armTimer()
{
  const auto wanted = toSteadyClock(deadline_);
  if (deadline_ == base::TimePoint::max() || timer_.expiry() <= wanted) {
    if (timer_.expiry() > std::chrono::steady_clock::now()) {
      return;
    }
  }
  if (deadline_ == base::TimePoint::max()) {
    return;
  }
  timer_.expires_at(wanted);
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
  const bool midRequest = state_ == State::Reading && (reader_.begun() || !in_.empty());
  if (midRequest) {
    keepAlive_ = false;
    state_ = State::Handling;
    respond(ownAnswer(408, "", "the request didn't arrive in time"));
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
  if (run_) {
    run_->cancel();
    run_.reset();
  }
  error_code ignored;
  socket_.close(ignored);
  server_.remove(shared_from_this());
}

} // namespace sycamore::entry

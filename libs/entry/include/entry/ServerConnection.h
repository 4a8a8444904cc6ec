#pragma once

#include <entry/Asio.h>
#include <entry/BufferQuota.h>
#include <entry/MessageReader.h>

#include <base/Time.h>
#include <dispatch/EntrySettings.h>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace sycamore::entry {

// Bytes that the body of an answer may have if no lower limit is set.
inline constexpr std::uint64_t kMaxAnswerBytes = 64 * 1024 * 1024;

// How an exchange with a server ended.
enum class ExchangeEnd
{
  Answered,
  // No byte of the request was sent, so that the server can't have run it: the connection wasn't
  // established, or had ended before the request was written.
  NotSent,
  // The connection broke after the request was sent.
  Broken,
  // The received bytes can't be parsed as an answer, have a status that no answer has, or can't be
  // attributed to the request.
  Malformed,
  // The server sent more than one answer may have, or more than there is memory for.
  TooLarge
};

struct ExchangeResult
{
  ExchangeEnd end = ExchangeEnd::NotSent;
  // If the request wasn't sent, the answer to the call that was to open its connection, if any.
  ServerAnswer answer;
  // Whether the connection can carry another request, and whether it had carried one before.
  bool reusable = false;
  bool reused = false;
  // Whether the answer carries the request's id.
  bool isIdentified = false;
  // Number of answers to other requests that came first.
  unsigned foreignAnswers = 0;
  // Bytes of the request and of all that was received.
  std::size_t bytes = 0;
  // Whether a byte was received after the request.
  bool answerBegan = false;
  // Why a malformed answer can't be used.
  std::string fault;
  // Memory that the answer takes.
  BufferReservation memory;
  // Whether the call was given up because nothing more arrived in time.
  bool timedOut = false;
  // Number of idle connections that were closed because of that.
  std::size_t idleClosed = 0;
  // Time for which the connection had been open, zero if it never was.
  base::Duration connectionAge{};
};

// A connection to a backend server or to the store. It carries one request at a time, skips a few
// answers to other requests, and closes when bytes arrive while no request is in progress. An
// answer without a request id is accepted only if no other request has been sent on the connection,
// or after acceptUnidentifiedAnswers(). Used by one thread only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  using Finished = std::function<void(ExchangeResult)>;
  // Called when an idle connection ends, with the number of bytes that it received before.
  using IdleEndListener = std::function<void(std::size_t)>;

  // `quota` bounds the received bytes of all connections that share it.
  ServerConnection(asio::io_context& context,
                   const dispatch::Endpoint& server,
                   const BufferQuota& quota);

  // Sends a request and reads its answer; connects first if necessary, until `connectDeadline`.
  // Answers that carry another request's id are skipped.
  void exchange(std::string bytes,
                std::string requestId,
                bool headOnly,
                base::TimePoint connectDeadline,
                Finished finished);

  // Closes the connection; the callback of an exchange in progress isn't called.
  void abandon();

  // Sets a condition that is checked once, right before the first byte of the next exchange is
  // written. If it doesn't hold, the exchange ends without being sent.
  void setSendCondition(std::function<bool()> sendCondition)
  {
    sendCondition_ = std::move(sendCondition);
  }

  // Lets a new connection wait a moment for a reset before the first request is sent on it. A
  // server with too many connections resets a new one at once; a request that was already sent on
  // it may have run, one that wasn't can't have.
  void awaitEarlyReset() { awaitsEarlyReset_ = true; }

  // Sets the bytes that the bodies of answers may have from now on.
  void setMaxAnswerBytes(std::uint64_t bytes) { maxAnswerBytes_ = bytes; }

  // Returns whether the current exchange has begun to send.
  bool sendStarted() const { return sendStarted_; }

  // Returns whether the connection had carried another exchange before the current one.
  bool reused() const { return exchanges_ > 1; }

  // Returns the number of bytes that the current exchange has received.
  std::size_t receivedBytes() const { return receivedBytes_; }

  // Watches the idle connection and calls the listener when it ends.
  void watchIdle(IdleEndListener idleEndListener);

  // Accepts answers without an id from now on, in the order of the requests: the server has
  // answered a request on this connection without repeating its id.
  void acceptUnidentifiedAnswers() { acceptsUnidentified_ = true; }

  // Returns the time until which the idle connection may be reused: the server's announced or an
  // assumed idle timeout, less a margin.
  base::TimePoint reusableUntil() const { return reusableUntil_; }
  bool open() const { return isOpen_; }
  // Returns the time of the last complete answer.
  base::TimePoint lastAnswerAt() const { return lastAnswerAt_; }
  // Returns the time since the connection was established, zero if it never was.
  base::Duration age(base::TimePoint now) const
  {
    return openedAt_ == base::TimePoint{} ? base::Duration::zero() : now - openedAt_;
  }

private:
  // Runs a handler. If it throws, ends the exchange, unless its callback has been called, closes
  // the connection and passes the exception on to the event loop.
  template<typename Handler>
  void endOnFailure(Handler&& handler)
  {
    try {
      handler();
    } catch (...) {
      finish(ExchangeEnd::Malformed);
      close();
      throw;
    }
  }

  void connect(base::TimePoint connectDeadline);
  void onConnected(const error_code& error);
  // Sends the request unless the new connection ends within a moment.
  void sendUnlessReset();
  void send();
  void read();
  void onBytes(const error_code& error, std::size_t count);
  // Nothing more can be read.
  void onEnd(const error_code& error);
  // Returns whether the end of the connection is that of an answer without a length. If the request
  // isn't written yet, the server has hardly sent all of its answer, and the connection may have
  // been reset. A statement that the request hasn't run needs no body.
  bool isEndOfAnswer() const;
  void onAnswer();
  void finish(ExchangeEnd end);
  void close();

  tcp::socket socket_;
  // Ends the attempt to connect, and then the wait for an early reset.
  asio::steady_timer connectTimer_;
  dispatch::Endpoint server_;
  std::string out_;
  std::string in_;
  std::array<char, 8192> chunk_{};
  // Bytes that the current exchange has sent or received.
  std::size_t exchangedBytes_ = 0;
  std::size_t receivedBytes_ = 0;
  BufferQuota quota_;
  BufferReservation memory_;
  std::uint64_t maxAnswerBytes_ = kMaxAnswerBytes;
  unsigned exchanges_ = 0;
  unsigned skippedAnswers_ = 0;
  unsigned foreignAnswers_ = 0;
  AnswerReader reader_;
  std::string requestId_;
  // Whether the last answer carried the id of its request.
  bool isIdentified_ = false;
  bool acceptsUnidentified_ = false;
  Finished finished_;
  std::function<bool()> sendCondition_;
  IdleEndListener idleEndListener_;
  base::TimePoint reusableUntil_{};
  base::TimePoint openedAt_{};
  base::TimePoint lastAnswerAt_{};
  bool isOpen_ = false;
  bool awaitsEarlyReset_ = false;
  bool sendStarted_ = false;
  bool requestWritten_ = false;
  bool readPending_ = false;
  bool headOnly_ = false;
  bool closed_ = false;
};

} // namespace sycamore::entry

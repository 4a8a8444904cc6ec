#pragma once

#include <entry/CallerServer.h>
#include <entry/PipelinedAnswers.h>
#include <entry/RequestInput.h>

#include <base/Time.h>

#include <array>
#include <map>
#include <memory>
#include <string>

namespace sycamore::entry {

// A caller's connection: passes its requests to the dispatcher, several side by side where
// PipelinedAnswers allows it, and writes their answers in the order of arrival. The time of each
// request counts from its own first byte. If the caller disconnects, all of its requests are
// cancelled. An answer that closes the connection is always the last one: nothing is read behind a
// request that asks for it, and what was read and not begun by then is dropped. Traffic thread
// only.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(CallerServer& server, tcp::socket socket);

  void start();

  // Returns whether a request has begun to arrive, is being handled or is being answered, or
  // whether the first request of a new connection is still expected.
  bool hasActiveRequest() const;

  // Returns the number of active requests. Those that aren't read yet count as one.
  std::size_t activeRequests() const;

  // Closes the connection if no request is active on it, now or after the first request of a new
  // connection hasn't arrived in time.
  void closeIdle();

  // Answers the requests that are being received or handled, because the process ends.
  void endRequests();

private:
  // Runs a handler. If it throws, the state of the connection isn't known: closes it and passes the
  // exception on to the event loop.
  template<typename Handler>
  void closeOnFailure(Handler&& handler)
  {
    try {
      handler();
    } catch (...) {
      close();
      throw;
    }
  }

  // Returns whether bytes of a further request have arrived.
  bool hasUnreadBytes() const;
  void read();
  void onBytes(const error_code& error, std::size_t count);
  // Begins the requests that may be begun, and writes the next answer that is ready.
  void advance();
  // Begins the next request. Returns false if none has arrived or it has to wait.
  bool tryBeginNext();
  bool mayBeginNext();
  void beginNext();
  void continueIfExpected();
  void rejectMalformed();
  void rejectForMemory();
  // Answers the request that is being received, and reads nothing more.
  void rejectReceiving(CallerAnswer answer);
  void onAnswer(RequestNumber number, CallerAnswer answer);
  void writeNext();
  void write(std::string bytes);
  void onWritten(const error_code& error);
  void onAnswerWritten();
  // Shuts down the sending side after the last answer.
  void finish();
  base::TimePoint deadline() const;
  void armTimer();
  void onTimer();
  void close();

  CallerServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  // Time at which the timer fires; the latest time if it isn't armed.
  base::TimePoint timerAt_ = base::TimePoint::max();
  std::array<char, 8192> chunk_{};
  RequestInput input_;
  PipelinedAnswers answers_;
  // Handlers of the requests that have no answer yet.
  std::map<RequestNumber, std::shared_ptr<RequestHandler>> handlers_;
  std::string out_;
  // Memory of the answer that is being written.
  BufferReservation outMemory_;
  // Time until which the first request of this connection is expected.
  base::TimePoint firstRequestExpectedUntil_{};
  // Time until which the connection may be idle.
  base::TimePoint idleDeadline_ = base::TimePoint::max();
  base::TimePoint writeDeadline_ = base::TimePoint::max();
  // Time by which the caller must have closed its side after the last answer.
  base::TimePoint closeDeadline_ = base::TimePoint::max();
  bool isAdvancing_ = false;
  bool isWriting_ = false;
  // Whether the bytes that are being written are an answer, not an interim one.
  bool isWritingAnswer_ = false;
  // Whether it has been counted that the next request waits for room.
  bool isWaitCounted_ = false;
  bool readPending_ = false;
  // Whether the router's sending side is shut down, and the caller hasn't closed its side.
  bool isClosing_ = false;
  bool closed_ = false;
};

} // namespace sycamore::entry

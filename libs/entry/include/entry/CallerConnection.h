#pragma once

#include <entry/CallerServer.h>
#include <entry/MessageReader.h>

#include <base/Time.h>

#include <array>
#include <memory>
#include <string>

namespace sycamore::entry {

// A caller's connection: reads requests one after the other and passes each to the dispatcher. If
// the caller disconnects while its request is being handled, the request is cancelled. Traffic
// thread only.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(CallerServer& server, tcp::socket socket);

  void start();

  // Returns whether a request has begun to arrive, is being handled or is being answered, or
  // whether the first request of a new connection is still expected.
  bool hasActiveRequest() const;

  // Closes the connection if no request is active on it, now or after the first request of a new
  // connection hasn't arrived in time.
  void closeIdle();

  // Answers the request that is being received or handled, because the process ends.
  void endRequest();

private:
  enum class State
  {
    Reading,
    Handling,
    Writing,
    // The router's sending side is shut down; waiting for the caller to close its side.
    Closing
  };

  // Returns whether bytes of a further request have arrived.
  bool hasUnreadBytes() const;
  void beginRequest();
  void read();
  void onBytes(const error_code& error, std::size_t count);
  void process();
  void handle();
  void continueIfExpected();
  void rejectMalformed();
  void rejectForMemory();
  // Refuses the request that is being received with status 503.
  void rejectReceiving(std::string_view reason, base::Duration retryAfter);
  void respond(CallerAnswer answer);
  void write(std::string bytes, bool close);
  void onWritten(const error_code& error, bool close);
  void armTimer();
  void onTimer();
  void close();

  CallerServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  base::TimePoint deadline_;
  std::array<char, 8192> chunk_{};
  std::string in_;
  std::string out_;
  RequestReader reader_;
  // Memory of the bytes received, and of the answer being written.
  BufferReservation requestMemory_;
  BufferReservation answerMemory_;
  // Time until which the first request of this connection is expected.
  base::TimePoint firstRequestExpectedUntil_{};
  std::shared_ptr<RequestHandler> requestHandler_;
  base::TimePoint requestBeganAt_;
  State state_ = State::Reading;
  bool keepAlive_ = true;
  bool headOnly_ = false;
  bool continueSent_ = false;
  bool readPending_ = false;
  bool closed_ = false;
};

} // namespace sycamore::entry

#pragma once

#include <entry/ArrivalTimes.h>
#include <entry/BufferQuota.h>
#include <entry/MessageReader.h>

#include <dispatch/Configuration.h>

#include <string>
#include <string_view>

namespace sycamore::entry {

// A request that has arrived whole.
struct ReceivedRequest
{
  Request request;
  // Time of its first byte.
  base::TimePoint beganAt;
  // Memory that its bytes take.
  BufferReservation memory;
};

// Divides the bytes of a caller's connection into requests. At most one request is parsed ahead;
// the bytes behind it stay unread until it is taken. Has no socket and no timer.
class RequestInput
{
public:
  // `quota` bounds the bytes that have arrived and belong to no request that was taken.
  explicit RequestInput(const BufferQuota& quota);

  // Adds bytes that arrived at `now`. Returns false, without a change, if there is no memory for
  // them.
  bool tryAppend(std::string_view bytes, base::TimePoint now);

  // Parses the next request as far as its bytes have arrived.
  ReadState parse(const dispatch::CallerLimits& limits, base::TimePoint now);

  // Returns the request for which parse() returned Done, and goes on to the next.
  ReceivedRequest take();

  // Returns the request for which parse() returned Done.
  const Request& complete() const { return reader_.message(); }

  // Drops all bytes that weren't taken. Bytes that arrive later are dropped too.
  void end();
  bool hasEnded() const { return hasEnded_; }

  // Returns whether bytes have arrived that weren't taken.
  bool hasBytes() const { return memory_.bytes() > 0; }
  // Returns whether a part of a request has arrived, and not all of it.
  bool isReceiving() const { return hasBytes() && !isComplete_; }
  std::size_t unreadBytes() const { return unread_.size(); }

  // Returns the time by which the headers or the body of the request that is being received must
  // have arrived; the latest time if none is.
  base::TimePoint deadline() const;
  // Returns the time of the first byte of the request that is being received.
  base::TimePoint beganAt() const { return beganAt_; }
  bool headersDone() const { return reader_.headerDone(); }
  // Returns whether the caller waits for an interim answer before it sends the body.
  bool expectsContinue() const;
  // Notes that the caller has been told to send the body, which is due from `now` on.
  void onContinueSent(const dispatch::CallerLimits& limits, base::TimePoint now);
  const error_code& error() const { return reader_.error(); }

private:
  // Begins with the next request if any byte of it has arrived.
  void beginIfBytes(const dispatch::CallerLimits& limits, base::TimePoint now);

  BufferQuota quota_;
  // Memory of all bytes that weren't taken.
  BufferReservation memory_;
  ArrivalTimes arrivals_;
  // Number of bytes that have arrived on the connection.
  std::uint64_t arrivedBytes_ = 0;
  std::string unread_;
  RequestReader reader_;
  base::TimePoint beganAt_{};
  base::TimePoint deadline_ = base::TimePoint::max();
  bool hasBegun_ = false;
  bool isComplete_ = false;
  // Whether bytes have arrived that weren't given to the parser.
  bool hasNewBytes_ = false;
  bool continueSent_ = false;
  bool hasEnded_ = false;
};

} // namespace sycamore::entry

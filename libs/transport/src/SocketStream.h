#pragma once

#include <base/Time.h>

#include <array>
#include <httplib.h>
#include <string>

namespace sycamore::transport {

// A buffered stream over a connected socket, from which cpp-httplib reads requests and answers.
// While a head is read, reads time out at the head's deadline; each wait is limited to ioTimeout. A
// head or line that exceeds the maximum length ends the stream.
class SocketStream : public httplib::Stream
{
public:
  SocketStream(int fd, base::Duration ioTimeout);

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return fd_; }

  // Starts the head of the next message, which must be complete at the deadline.
  void setHeadDeadline(base::TimePoint deadline);
  void clearHeadDeadline();

  // Returns the bytes of the last head as they were received.
  const std::string& rawHead() const { return rawHead_; }

  // Returns whether the last head exceeded the maximum length.
  bool isHeadTooLarge() const { return headBytes_ > kMaxHeadBytes; }

  bool hasBufferedInput() const { return bufferBegin_ < bufferEnd_; }
  // Returns whether the peer has closed its end of the connection.
  bool hasPeerClosed() const;

  // Sets whether write() discards its data. Used after the answer was written with writeAll(),
  // since cpp-httplib then writes an answer of its own.
  void setDiscardWrites(bool discard) { discardWrites_ = discard; }
  // Writes all bytes even while write() discards its data. Returns false if the connection broke.
  bool writeAll(std::string_view data);

private:
  bool waitFor(short events, base::TimePoint deadline) const;
  bool fill();

  static constexpr std::size_t kBufferBytes = 16384;
  // Maximum length of a head, and of a line between the chunks of a body. cpp-httplib alone would
  // buffer a line of any length before checking it.
  static constexpr std::size_t kMaxHeadBytes = 65536;

  const int fd_;
  const base::Duration ioTimeout_;
  base::TimePoint headDeadline_ = base::TimePoint::max();
  bool readingHead_ = false;
  std::size_t headBytes_ = 0;
  // Bytes of the line in progress, which cpp-httplib reads one by one.
  std::size_t lineBytes_ = 0;
  std::string rawHead_;
  bool discardWrites_ = false;
  std::size_t bufferBegin_ = 0;
  std::size_t bufferEnd_ = 0;
  std::array<char, kBufferBytes> buffer_;
};

} // namespace sycamore::transport

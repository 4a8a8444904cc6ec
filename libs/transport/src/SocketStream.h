#pragma once

#include <base/Time.h>

#include <array>
#include <httplib.h>
#include <string>

namespace sycamore::transport {

// A buffered stream over a connected socket, in the form that cpp-httplib reads requests from.
// Reads time out at a deadline for the request head and after ioTimeout for each later part.
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

  // The head of the next request must be complete at this time.
  void setHeadDeadline(base::TimePoint deadline);
  void clearHeadDeadline();

  // The bytes of the last head as they were received.
  const std::string& rawHead() const { return rawHead_; }

  // Whether the last head was longer than a head may be.
  bool isHeadTooLarge() const { return headBytes_ > kMaxHeadBytes; }

  bool hasBufferedInput() const { return readBegin_ < readEnd_; }
  // Whether the other side closed its end.
  bool isPeerGone() const;

  // Swallows writes from now on until restored: the answer was already written directly.
  void setDiscardWrites(bool discard) { discardWrites_ = discard; }
  // Writes all bytes past the discarding; false when the connection broke.
  bool writeAll(std::string_view data);

private:
  bool waitFor(short events, base::TimePoint deadline) const;
  bool fill();

  static constexpr std::size_t kBufferBytes = 16384;
  // cpp-httplib collects a line of any length before it checks it.
  static constexpr std::size_t kMaxHeadBytes = 65536;

  const int fd_;
  const base::Duration ioTimeout_;
  base::TimePoint headDeadline_ = base::TimePoint::max();
  bool readingHead_ = false;
  std::size_t headBytes_ = 0;
  std::string rawHead_;
  bool discardWrites_ = false;
  std::size_t readBegin_ = 0;
  std::size_t readEnd_ = 0;
  std::array<char, kBufferBytes> buffer_;
};

} // namespace sycamore::transport

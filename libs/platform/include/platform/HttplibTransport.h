#pragma once

#include <base/Time.h>
#include <platform/Transport.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace sycamore::platform {

// Transport over cpp-httplib with a pool of persistent connections, each of which carries one call
// at a time. Thread-safe.
class HttplibTransport
{
public:
  // Returns whether calls to the address are blocked, to simulate a network partition. Called
  // before a call is sent and again when its answer arrives, so that answers are blocked too.
  // Called on the threads of exchange().
  using BlockCheck = std::function<bool(const std::string& address)>;

  // Allows for some lists of many objects of a megabyte each.
  static constexpr std::size_t kMaxBufferedBytes = 256UL << 20;

  // `address` is "ip:port" of the platform. `maxBufferedBytes` bounds the answers of all calls in
  // progress together; a call whose answer would exceed it fails.
  explicit HttplibTransport(std::string address,
                            BlockCheck blockCheck = nullptr,
                            std::size_t maxBufferedBytes = kMaxBufferedBytes);
  ~HttplibTransport();

  HttpReply exchange(const HttpCall& call, base::TimePoint deadline);

private:
  class Pool;
  class BufferedBytes;

  bool isBlocked() const;

  const std::string address_;
  const BlockCheck blockCheck_;
  const std::size_t maxBufferedBytes_;
  std::atomic<std::size_t> bufferedBytes_{ 0 };
  const std::unique_ptr<Pool> pool_;
};

static_assert(Transport<HttplibTransport>);

} // namespace sycamore::platform

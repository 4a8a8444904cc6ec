#pragma once

#include <base/Time.h>
#include <platform/Transport.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace sycamore::platform {

// Transport over cpp-httplib with a pool of kept connections, one call at a time on each.
// Thread-safe.
class HttplibTransport
{
public:
  // Whether calls to the address fail now. Asked before a call and again when its answer comes, so
  // that a partition also cuts off answers. Called from the threads of the calls.
  using BlockCheck = std::function<bool(const std::string& address)>;

  // address is "ip:port" of the platform.
  explicit HttplibTransport(std::string address, BlockCheck blockCheck = nullptr);
  ~HttplibTransport();

  HttpReply exchange(const HttpCall& call, base::TimePoint deadline);

private:
  class Pool;

  bool isBlocked() const;

  const std::string address_;
  const BlockCheck blockCheck_;
  const std::unique_ptr<Pool> pool_;
};

static_assert(Transport<HttplibTransport>);

} // namespace sycamore::platform

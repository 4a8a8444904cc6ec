#pragma once

#include <base/Time.h>

#include <httplib.h>

#include <functional>

namespace sycamore::transport {

class SocketStream;

// A cpp-httplib client that bounds what cpp-httplib keeps of an answer before it is passed on. The
// head of an answer must be complete by a deadline and within a maximum length, and so must each
// line between the chunks of a body; otherwise the call fails and the connection is closed, as it
// does with a status that no answer has and with a head that recipients read in different ways.
// Bytes after an answer close the connection too.
class BoundedHttpClient : public httplib::ClientImpl
{
public:
  BoundedHttpClient(const std::string& host, int port);

  // Sets the deadline for the heads of the answers to the following calls, and the time that each
  // wait for more bytes of a body may take.
  void setTimeouts(base::TimePoint headDeadline, base::Duration ioTimeout);

  // Sends a request like ClientImpl::send().
  bool sendBounded(httplib::Request& request, httplib::Response& response, httplib::Error& error);

private:
  bool process_socket(const Socket& socket,
                      std::function<bool(httplib::Stream& stream)> callback) override;

  base::TimePoint headDeadline_ = base::TimePoint::max();
  base::Duration ioTimeout_{};
  // The stream of the call in progress.
  SocketStream* stream_ = nullptr;
};

} // namespace sycamore::transport

#include <transport/BoundedHttpClient.h>

#include "SocketStream.h"

#include <base/HeadCheck.h>
#include <base/HttpStatus.h>

namespace sycamore::transport {

BoundedHttpClient::BoundedHttpClient(const std::string& host, int port)
  : ClientImpl(host, port)
{
}

void BoundedHttpClient::setTimeouts(base::TimePoint headDeadline, base::Duration ioTimeout)
{
  headDeadline_ = headDeadline;
  ioTimeout_ = ioTimeout;
}

bool BoundedHttpClient::sendBounded(httplib::Request& request,
                                    httplib::Response& response,
                                    httplib::Error& error)
{
  request.response_handler =
    [this, handler = std::move(request.response_handler)](const httplib::Response& head) {
      stream_->clearHeadDeadline();
      return base::isAnswerStatus(head.status) &&
             base::findHeadFault(stream_->rawHead()) == base::HeadFault::None &&
             (!handler || handler(head));
    };
  return send(request, response, error);
}

bool BoundedHttpClient::process_socket(const Socket& socket,
                                       std::function<bool(httplib::Stream& stream)> callback)
{
  SocketStream stream(socket.sock, ioTimeout_);
  stream.setHeadDeadline(headDeadline_);
  stream_ = &stream;
  const bool succeeded = callback(stream);
  stream_ = nullptr;
  if (stream.hasBufferedInput()) {
    const std::lock_guard lock(socket_mutex_);
    socket_should_be_closed_when_request_is_done_ = true;
  }
  return succeeded;
}

} // namespace sycamore::transport

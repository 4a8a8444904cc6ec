#include <entry/Listener.h>

namespace sycamore::entry {

namespace {

// Delay after accept() has failed, mostly for lack of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 20 };

} // namespace

Listener::Listener(asio::io_context& context,
                   const dispatch::Endpoint& address,
                   int backlog,
                   Accepted accepted)
  : acceptor_(context)
  , retryTimer_(context)
  , accepted_(std::move(accepted))
{
  const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(backlog);
  accept();
}

void Listener::stop()
{
  stopped_ = true;
  acceptWaiting();
  error_code ignored;
  acceptor_.close(ignored);
}

// Closing the listener resets the connections that wait to be accepted, though their callers may
// have sent requests already.
void Listener::acceptWaiting()
{
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket = acceptor_.accept(error);
    if (!error) {
      accepted_(std::move(socket));
    }
  }
}

void Listener::accept()
{
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || stopped_) {
      return;
    }
    if (error) {
      retryTimer_.expires_after(kAcceptRetryDelay);
      retryTimer_.async_wait([this](const error_code& waitError) {
        if (!waitError) {
          accept();
        }
      });
      return;
    }
    accept();
    accepted_(std::move(socket));
  });
}

} // namespace sycamore::entry

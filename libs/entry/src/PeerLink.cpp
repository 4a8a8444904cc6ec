#include <entry/PeerLink.h>

namespace sycamore::entry {

PeerLink::PeerLink(asio::io_context& context, const dispatch::Endpoint& own, Received received)
  : socket_(context, { asio::ip::make_address(own.ip), own.port })
  , port_(own.port)
  , received_(std::move(received))
{
  socket_.non_blocking(true);
  receive();
}

void PeerLink::send(const std::string& ip, const PeerMessage& message)
{
  sendBytes(ip, encodePeerMessage(message));
}

void PeerLink::send(const std::vector<std::string>& ips, const PeerMessage& message)
{
  const std::string bytes = encodePeerMessage(message);
  for (const std::string& ip : ips) {
    sendBytes(ip, bytes);
  }
}

void PeerLink::sendBytes(const std::string& ip, const std::string& bytes)
{
  error_code error;
  const auto address = asio::ip::make_address(ip, error);
  if (!error) {
    // A datagram that can't be sent is treated as lost.
    socket_.send_to(asio::buffer(bytes), { address, port_ }, 0, error);
  }
}

void PeerLink::receive()
{
  socket_.async_receive_from(
    asio::buffer(buffer_), from_, [this](const error_code& error, std::size_t count) {
      if (error == asio::error::operation_aborted) {
        return;
      }
      if (!error) {
        if (auto message = decodePeerMessage(std::string(buffer_.data(), count))) {
          received_(std::move(*message), from_.address().to_string());
        }
      }
      receive();
    });
}

} // namespace sycamore::entry

#include <entry/PeerLink.h>

#include <entry/HandlerScope.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace sycamore::entry {

PeerLink::PeerLink(asio::io_context& context,
                   const dispatch::Endpoint& own,
                   ByteCounts& bytes,
                   Received received)
  : socket_(context, { asio::ip::make_address(own.ip), own.port })
  , ownIp_(own.ip)
  , port_(own.port)
  , bytes_(bytes)
  , received_(std::move(received))
{
  socket_.non_blocking(true);
  receive();
}

void PeerLink::send(const PeerAddress& to, const PeerMessage& message)
{
  sendBytes(to, kindNameOf(message), encodePeerMessage(message));
}

void PeerLink::send(const std::vector<PeerAddress>& to, const PeerMessage& message)
{
  const std::string bytes = encodePeerMessage(message);
  for (const PeerAddress& peer : to) {
    sendBytes(peer, kindNameOf(message), bytes);
  }
}

void PeerLink::send(const dispatch::FanoutPlan& plan, const PeerMessage& message)
{
  const char* const kind = kindNameOf(message);
  const std::string bytes = encodePeerMessage(message);
  for (const std::string& ip : plan.sameDomain) {
    sendBytes({ ip, true }, kind, bytes);
  }
  for (const std::string& ip : plan.otherDomains) {
    sendBytes({ ip, false }, kind, bytes);
  }
  for (const dispatch::DomainFanout& fanout : plan.forwarded) {
    const std::string enclosing = encodePeerMessage(ForwardMessage{ fanout.receivers, bytes });
    for (const std::string& ip : fanout.forwarders) {
      sendBytes({ ip, false }, kind, enclosing);
    }
  }
}

// Passes the enclosed message on to the other receivers, and delivers it here if this VM is one of
// them, without a datagram to itself.
void PeerLink::forward(const ForwardMessage& message)
{
  for (const std::string& ip : message.receivers) {
    if (ip != ownIp_) {
      sendBytes({ ip, true }, "forward", message.message);
    }
  }
  if (std::ranges::find(message.receivers, ownIp_) == message.receivers.end()) {
    return;
  }
  auto enclosed = decodePeerMessage(message.message);
  if (enclosed && !std::holds_alternative<ForwardMessage>(*enclosed)) {
    received_(std::move(*enclosed), "");
  }
}

void PeerLink::sendBytes(const PeerAddress& to, const char* kind, const std::string& bytes)
{
  error_code error;
  const auto address = asio::ip::make_address(to.ip, error);
  if (error) {
    return;
  }
  // A datagram that can't be sent is treated as lost.
  socket_.send_to(asio::buffer(bytes), { address, port_ }, 0, error);
  bytes_.add(kind, to.isSameDomain, bytes.size());
}

void PeerLink::receive()
{
  socket_.async_receive_from(
    asio::buffer(buffer_), from_, [this](const error_code& error, std::size_t count) {
      const HandlerScope scope("peer_message");
      if (error == asio::error::operation_aborted) {
        return;
      }
      const std::string bytes(buffer_.data(), error ? 0 : count);
      const std::string from = from_.address().to_string();
      receive();
      if (auto message = decodePeerMessage(bytes)) {
        onMessage(std::move(*message), from);
      }
    });
}

void PeerLink::onMessage(PeerMessage message, const std::string& from)
{
  if (const auto* forwarded = std::get_if<ForwardMessage>(&message)) {
    forward(*forwarded);
  } else {
    received_(std::move(message), from);
  }
}

} // namespace sycamore::entry

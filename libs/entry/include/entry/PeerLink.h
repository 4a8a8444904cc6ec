#pragma once

#include <entry/Asio.h>
#include <entry/PeerMessage.h>

#include <dispatch/EntrySettings.h>

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace sycamore::entry {

// Sends and receives datagrams between entry VMs. Any datagram may be lost, so that messages which
// must arrive are sent repeatedly. Control thread only.
class PeerLink
{
public:
  using Received = std::function<void(PeerMessage, const std::string& from)>;

  PeerLink(asio::io_context& context, const dispatch::Endpoint& own, Received received);

  // Sends to another entry VM, at the same port as this VM's.
  void send(const std::string& ip, const PeerMessage& message);
  // Sends the same message to several entry VMs.
  void send(const std::vector<std::string>& ips, const PeerMessage& message);

private:
  void sendBytes(const std::string& ip, const std::string& bytes);
  void receive();

  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint from_;
  std::uint16_t port_;
  std::array<char, 65536> buffer_{};
  Received received_;
};

} // namespace sycamore::entry

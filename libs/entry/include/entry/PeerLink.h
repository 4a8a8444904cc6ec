#pragma once

#include <entry/Asio.h>
#include <entry/ByteCounts.h>
#include <entry/PeerMessage.h>

#include <dispatch/EntrySettings.h>
#include <dispatch/FanoutPlan.h>

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace sycamore::entry {

// Address of another entry VM.
struct PeerAddress
{
  std::string ip;
  // Whether the VM is in the failure domain of this VM.
  bool isSameDomain = false;
};

// Sends and receives datagrams between entry VMs, and forwards those that are meant for other VMs
// of its failure domain. Any datagram may be lost, so that messages which must arrive are sent
// repeatedly. Control thread only.
class PeerLink
{
public:
  // Notified of each message except those that enclose another one to be forwarded. If this VM is
  // one of the receivers of an enclosed message, it is notified of that one, with `from` empty.
  // Otherwise `from` is the IP address from which the message came.
  using Received = std::function<void(PeerMessage, const std::string& from)>;

  // `bytes` counts the sent datagrams and has to outlive this object.
  PeerLink(asio::io_context& context,
           const dispatch::Endpoint& own,
           ByteCounts& bytes,
           Received received);

  // Sends to another entry VM, at the same port as this VM's.
  void send(const PeerAddress& to, const PeerMessage& message);
  // Sends the same message to several entry VMs.
  void send(const std::vector<PeerAddress>& to, const PeerMessage& message);
  // Sends a message to all VMs of a plan, to some of them by way of VMs that forward it.
  void send(const dispatch::FanoutPlan& plan, const PeerMessage& message);

private:
  void sendBytes(const PeerAddress& to, const char* kind, const std::string& bytes);
  void receive();
  void onMessage(PeerMessage message, const std::string& from);
  void forward(const ForwardMessage& message);

  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint from_;
  std::string ownIp_;
  std::uint16_t port_;
  ByteCounts& bytes_;
  std::array<char, 65536> buffer_{};
  Received received_;
};

} // namespace sycamore::entry

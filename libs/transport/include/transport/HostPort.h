#pragma once

#include <string>

namespace sycamore::transport {

// An IP address and a port, written "ip:port".
struct HostPort
{
  std::string host;
  int port = 0;

  // Parses "ip:port". Throws TransportError for anything else.
  static HostPort parse(const std::string& address);

  std::string toString() const;
};

} // namespace sycamore::transport

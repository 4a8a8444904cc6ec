#include <transport/HostPort.h>

#include <transport/TransportError.h>

#include <charconv>

namespace sycamore::transport {

HostPort HostPort::parse(const std::string& address)
{
  constexpr int kMaxPort = 65535;
  const auto colon = address.rfind(':');
  int port = -1;
  if (colon != std::string::npos) {
    const char* end = address.data() + address.size();
    const auto result = std::from_chars(address.data() + colon + 1, end, port);
    if (result.ec != std::errc() || result.ptr != end) {
      port = -1;
    }
  }
  if (colon == 0 || port < 0 || port > kMaxPort) {
    throw TransportError("not an address of the form ip:port: '" + address + "'");
  }
  return { address.substr(0, colon), port };
}

std::string HostPort::toString() const
{
  return host + ":" + std::to_string(port);
}

} // namespace sycamore::transport

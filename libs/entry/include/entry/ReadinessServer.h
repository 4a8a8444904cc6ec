#pragma once

#include <entry/Listener.h>

#include <functional>
#include <string>

namespace sycamore::entry {

// Serves the readiness check, which states whether this entry VM accepts new connections, and the
// metrics text.
class ReadinessServer
{
public:
  ReadinessServer(asio::io_context& context,
                  const dispatch::Endpoint& listen,
                  std::function<bool()> ready,
                  std::function<std::string()> metrics);

private:
  std::function<bool()> ready_;
  std::function<std::string()> metrics_;
  Listener listener_;
};

} // namespace sycamore::entry

#pragma once

#include "DaemonSettings.h"

#include <memory>
#include <string>

namespace sycamore::daemon {

// All components of a sycamored process. The constructor starts them, the destructor stops them.
class Daemon
{
public:
  // Throws base::Error when an address can't be bound.
  explicit Daemon(DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Returns one line with the addresses that the ports are bound to.
  std::string addresses() const;

  // Shuts down gracefully: accepts no new callers, hands the server leases of this VM over to its
  // peers and finishes the requests in flight, all within DaemonSettings::drainTime. Returns
  // whether everything was finished in time.
  bool shutDown();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace sycamore::daemon

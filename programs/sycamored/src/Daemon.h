#pragma once

#include "DaemonSettings.h"

#include <memory>
#include <string>

namespace sycamore::daemon {

// Everything that runs in sycamored. The constructor starts it, the destructor stops it.
class Daemon
{
public:
  // Throws base::Error when an address can't be bound.
  explicit Daemon(DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // One line with the addresses in use.
  std::string addresses() const;

  // Leaves gracefully: takes no new callers, hands its duties over, ends the requests in flight,
  // all within the drain time of the settings. Returns whether everything ended in time.
  bool shutDown();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace sycamore::daemon

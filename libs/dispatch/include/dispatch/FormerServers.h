#pragma once

#include <base/Time.h>
#include <dispatch/BackendServer.h>

#include <cstddef>
#include <map>
#include <vector>

namespace sycamore::dispatch {

// Remembers servers whose entries were removed or replaced lately. They may still run and hold keys
// that a previous coordinator granted, and a new coordinator needs their addresses to have the keys
// released.
class FormerServers
{
public:
  // The registered servers have changed from `before` to `after`.
  void onServersChanged(const std::map<base::ServerId, BackendServer>& before,
                        const std::map<base::ServerId, BackendServer>& after,
                        base::TimePoint now);

  // Returns the servers that may still hold keys.
  std::vector<BackendServer> servers(base::TimePoint now) const;
  // Returns the number of servers that take memory.
  std::size_t size() const { return former_.size(); }

private:
  struct Former
  {
    BackendServer server;
    base::TimePoint forgetAt;
  };

  std::vector<Former> former_;
};

} // namespace sycamore::dispatch

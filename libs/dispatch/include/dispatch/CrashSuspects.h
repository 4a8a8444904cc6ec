#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

namespace sycamore::dispatch {

struct CrashSuspectSettings
{
  // A request is refused once the connections to this many servers broke while they ran it.
  std::size_t minBrokenServers = 2;
  // Time after a request's last broken connection until its broken connections no longer count.
  base::Duration evidenceDuration = std::chrono::minutes(2);
  // Maximum number of requests tracked.
  std::size_t maxSuspects = 1024;
};

// Tracks requests, by a digest of method, path and body, that were running when the connection to
// their server broke. A request for which this happened on several servers is assumed to crash them
// and is refused. Entry VMs notify each other of each broken connection.
class CrashSuspects
{
public:
  explicit CrashSuspects(CrashSuspectSettings settings = {});

  // The connection to a server broke while it ran the request. Each server incarnation counts once.
  void onConnectionBroken(std::uint64_t digest,
                          const std::string& serverIncarnation,
                          base::TimePoint now);

  // A server answered the request, which shows that the request doesn't crash servers.
  void onRequestAnswered(std::uint64_t digest);

  bool shouldRefuse(std::uint64_t digest, base::TimePoint now) const;

private:
  struct Evidence
  {
    std::set<std::string> servers;
    base::TimePoint expiresAt{};
  };

  CrashSuspectSettings settings_;
  std::unordered_map<std::uint64_t, Evidence> evidence_;
};

} // namespace sycamore::dispatch

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
  // Servers whose connection broke under a request, after which it is refused.
  std::size_t minBrokenServers = 2;
  // Life of the evidence.
  base::Duration evidenceDuration = std::chrono::minutes(2);
  // Most requests remembered.
  std::size_t maxSuspects = 1024;
};

// Requests, by a digest of method, path and body, that were running when the connection to their
// server broke. One that does so on several servers is taken to crash them and is refused. Entry
// VMs tell each other of each break.
class CrashSuspects
{
public:
  explicit CrashSuspects(CrashSuspectSettings settings = {});

  // The connection to a server broke while it ran the request. A server life counts once.
  void onConnectionBroken(std::uint64_t digest,
                          const std::string& serverIncarnation,
                          base::TimePoint now);

  // A server answered the request, so it crashes none.
  void onRequestAnswered(std::uint64_t digest);

  bool shouldRefuse(std::uint64_t digest, base::TimePoint now) const;

private:
  struct Evidence
  {
    std::set<std::string> servers;
    base::TimePoint until{};
  };

  CrashSuspectSettings settings_;
  std::unordered_map<std::uint64_t, Evidence> evidence_;
};

} // namespace sycamore::dispatch

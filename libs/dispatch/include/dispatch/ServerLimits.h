#pragma once

#include <base/Time.h>
#include <dispatch/BackendServer.h>
#include <dispatch/RequestLimit.h>

#include <map>
#include <optional>
#include <vector>

namespace sycamore::dispatch {

// The servers that name a limit in their answers. The coordinator gathers what all entry VMs see in
// answers; the others take its list over, so that each of them could go on as the coordinator.
class ServerLimits
{
public:
  // An answer of the server named this limit, or none. Returns whether the list has changed.
  bool onAnswer(const ServerIncarnation& server,
                std::optional<RequestLimit> limit,
                base::TimePoint now);

  // Takes the coordinator's list over. Returns whether the list has changed.
  bool replace(const std::vector<LimitedServer>& servers, base::TimePoint now);

  // Forgets limits that no answer has named for long: a server that gets no requests can't say that
  // its limit has ended. Returns whether the list has changed.
  bool expire(base::TimePoint now);

  // Forgets servers that are no longer registered or have started again. Returns whether the list
  // has changed.
  bool retain(const std::map<base::ServerId, BackendServer>& registered);

  std::optional<RequestLimit> limitOf(const ServerIncarnation& server) const;
  std::vector<LimitedServer> list() const;

private:
  struct Entry
  {
    std::int64_t born = 0;
    RequestLimit limit;
    base::TimePoint namedAt{};
    unsigned answersWithoutLimit = 0;
  };

  std::map<base::ServerId, Entry> entries_;
};

} // namespace sycamore::dispatch

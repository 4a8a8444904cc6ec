#pragma once

#include <base/Time.h>
#include <dispatch/BackendServer.h>
#include <dispatch/RequestLimit.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace sycamore::dispatch {

// A part of the list of limited servers, which may not fit into one message: all those whose ids
// come after `after`, up to the last one named, or to the end of the list.
struct LimitedServersPage
{
  // Empty in the first page.
  base::ServerId after;
  std::vector<LimitedServer> servers;
  bool isLast = true;
};

// The servers that name a limit in their answers. The coordinator gathers what all entry VMs see in
// answers; the others take its list over, so that each of them could go on as the coordinator.
class ServerLimits
{
public:
  // An answer of the server named this limit, or none. Returns whether the list has changed.
  bool onAnswer(const ServerIncarnation& server,
                std::optional<RequestLimit> limit,
                base::TimePoint now);

  // Takes a page of the coordinator's list over. Returns whether the list has changed.
  bool apply(const LimitedServersPage& page, base::TimePoint now);
  // Returns the page after the one that the last call returned, and the first one after the last.
  LimitedServersPage nextPage(std::size_t maxServers);

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

  using Entries = std::map<base::ServerId, Entry>;

  static std::vector<LimitedServer> toList(Entries::const_iterator first,
                                           Entries::const_iterator end);

  Entries entries_;
  // Where the next page begins.
  base::ServerId nextPageAfter_;
};

} // namespace sycamore::dispatch

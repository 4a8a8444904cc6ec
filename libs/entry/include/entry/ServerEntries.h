#pragma once

#include <entry/EventLog.h>
#include <entry/ObjectMirror.h>

#include <base/Time.h>
#include <dispatch/BackendServer.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sycamore::entry {

// Decodes the entries of servers in the store, each one anew only if it has changed, and logs which
// servers come, change and go.
class ServerEntries
{
public:
  using Servers = std::map<base::ServerId, dispatch::BackendServer>;

  explicit ServerEntries(EventLog& log);

  // Returns the servers that the objects name. Unreadable objects name none. `known` are the
  // servers of the last call, with what has been learned of them since; null before the first call.
  std::shared_ptr<Servers> decode(const ObjectMirror::Objects& objects,
                                  const Servers* known,
                                  base::TimePoint now);

private:
  // Returns whether the object is the one that was last decoded.
  bool isUnchanged(const std::string& name, std::uint64_t revision) const;
  void logServer(const dispatch::BackendServer& server);
  void logGone(const Servers& known, const Servers& servers);

  EventLog& log_;
  // Revision of the store's object from which each server was last decoded, by name.
  std::map<std::string, std::uint64_t> revisions_;
};

} // namespace sycamore::entry

#include <entry/ServerEntries.h>

#include <utility>

namespace sycamore::entry {

ServerEntries::ServerEntries(EventLog& log)
  : log_(log)
{
}

std::shared_ptr<ServerEntries::Servers> ServerEntries::decode(const ObjectMirror::Objects& objects,
                                                              const Servers* known,
                                                              base::TimePoint now)
{
  auto servers = std::make_shared<Servers>();
  std::map<std::string, std::uint64_t> revisions;
  for (const auto& [name, object] : objects) {
    revisions[name] = object.revision;
    const base::ServerId id(name);
    const bool isSameRevision = isUnchanged(name, object.revision);
    if (isSameRevision && known != nullptr && known->contains(id)) {
      dispatch::BackendServer server = known->at(id);
      server.draining = server.draining || object.deleting;
      servers->emplace(id, std::move(server));
      continue;
    }
    std::string error;
    auto server = wire::decodeServer(object, now, error);
    if (server) {
      server->draining = server->draining || object.deleting;
      logServer(*server);
      servers->emplace(id, std::move(*server));
    } else if (!isSameRevision) {
      log_.write("server_entry_unreadable", { { "name", name }, { "error", error } });
    }
  }
  if (known != nullptr) {
    logGone(*known, *servers);
  }
  revisions_ = std::move(revisions);
  return servers;
}

bool ServerEntries::isUnchanged(const std::string& name, std::uint64_t revision) const
{
  const auto last = revisions_.find(name);
  return last != revisions_.end() && last->second == revision;
}

void ServerEntries::logServer(const dispatch::BackendServer& server)
{
  log_.write("server",
             { { "id", server.id.value() },
               { "service", server.service.value() },
               { "address", server.address },
               { "born", server.born },
               { "draining", server.draining } });
}

void ServerEntries::logGone(const Servers& known, const Servers& servers)
{
  for (const auto& [id, server] : known) {
    if (!servers.contains(id)) {
      log_.write("server_gone", { { "id", id.value() } });
    }
  }
}

} // namespace sycamore::entry

#include <entry/RoutingViewPublisher.h>

#include <entry/ConfigurationLog.h>

#include <wire/WireError.h>

#include <map>
#include <set>
#include <utility>

namespace sycamore::entry {

RoutingViewPublisher::RoutingViewPublisher(EventLog& log, Publish publish)
  : log_(log)
  , publish_(std::move(publish))
  , serverEntries_(log)
{
}

bool RoutingViewPublisher::setConfiguration(const ObjectMirror::Objects& objects)
{
  const auto found = objects.find(wire::kConfigurationName);
  if (found == objects.end()) {
    return false;
  }
  isConfigurationInForce_ = false;
  try {
    auto configuration = wire::decodeConfiguration(found->second);
    if (view_.configuration && configuration->version < view_.configuration->version) {
      log_.write(
        "configuration_older",
        { { "version", configuration->version }, { "in_force", view_.configuration->version } });
      return false;
    }
    logConfiguration(log_, *configuration, found->second.revision);
    isConfigurationInForce_ = true;
    view_.configuration = std::move(configuration);
    publish();
  } catch (const wire::WireError& error) {
    log_.write("configuration_unreadable", { { "error", error.what() } });
  }
  return isConfigurationInForce_;
}

void RoutingViewPublisher::setServers(const ObjectMirror::Objects& objects, base::TimePoint now)
{
  auto servers = serverEntries_.decode(objects, view_.servers.get(), now);
  if (view_.servers) {
    formerServers_.onServersChanged(*view_.servers, *servers, now);
  }
  leavingServers_.apply(*servers);
  view_.servers = std::move(servers);
  publish();
}

void RoutingViewPublisher::setDomainsOut(const ObjectMirror::Objects& objects)
{
  std::set<base::DomainId> out;
  for (const auto& [name, object] : objects) {
    out.insert(base::DomainId(name));
  }
  if (out == view_.domainsOut) {
    return;
  }
  nlohmann::json names = nlohmann::json::array();
  for (const base::DomainId& domain : out) {
    names.push_back(domain.value());
  }
  log_.write("domains_out", { { "domains", names } });
  view_.domainsOut = std::move(out);
  publish();
}

void RoutingViewPublisher::setOwnership(std::shared_ptr<const dispatch::OwnershipRecord> ownership)
{
  view_.ownership = std::move(ownership);
  publish();
}

void RoutingViewPublisher::setLimitedServers(std::vector<dispatch::LimitedServer> servers)
{
  view_.limitedServers = std::move(servers);
  publish();
}

void RoutingViewPublisher::setEntryVms(std::size_t count, bool isCountedHere)
{
  if (view_.entryVms == count || count == 0) {
    return;
  }
  log_.write("entry_vms",
             { { "from", view_.entryVms }, { "to", count }, { "counted_here", isCountedHere } });
  view_.entryVms = count;
  publish();
}

void RoutingViewPublisher::onConfigurationCurrent(base::TimePoint currentAt)
{
  if (requiresKeys() && isConfigurationInForce_ && currentAt > view_.configurationCurrentAt) {
    view_.configurationCurrentAt = currentAt;
    publish();
  }
}

void RoutingViewPublisher::onServersLeaving(const std::vector<dispatch::ServerIncarnation>& servers)
{
  bool isNews = false;
  for (const dispatch::ServerIncarnation& server : servers) {
    isNews = leavingServers_.add(server) || isNews;
  }
  if (!isNews || !view_.servers) {
    return;
  }
  auto marked = std::make_shared<std::map<base::ServerId, dispatch::BackendServer>>(*view_.servers);
  leavingServers_.apply(*marked);
  view_.servers = std::move(marked);
  publish();
}

bool RoutingViewPublisher::requiresKeys() const
{
  return view_.configuration && view_.configuration->workspaces;
}

std::vector<dispatch::ServerIncarnation> RoutingViewPublisher::endedServers(
  base::TimePoint now) const
{
  std::vector<dispatch::ServerIncarnation> ended;
  if (!view_.servers) {
    return ended;
  }
  for (const dispatch::BackendServer& server : formerServers_.servers(now)) {
    const auto registered = view_.servers->find(server.id);
    if (registered == view_.servers->end() || registered->second.born != server.born) {
      ended.push_back({ server.id, server.born });
    }
  }
  for (const auto& [id, server] : *view_.servers) {
    if (server.draining) {
      ended.push_back({ id, server.born });
    }
  }
  return ended;
}

void RoutingViewPublisher::publish()
{
  publish_(std::make_shared<dispatch::RoutingView>(view_));
}

} // namespace sycamore::entry

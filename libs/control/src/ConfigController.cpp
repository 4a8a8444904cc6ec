#include <control/ConfigController.h>

#include <control/ControlError.h>

#include <nlohmann/json.hpp>

namespace sycamore::control {

using configuration::ConfigObject;
using configuration::ConfigObjects;
using configuration::ConfigSource;
using nlohmann::json;

namespace {

constexpr base::milliseconds kFetchTimeout{ 300 };

std::string encodeInventory(const configuration::ConfigInventory& inventory)
{
  json names = json::object();
  for (const auto& [name, version] : inventory) {
    names[name.value()] = version.value();
  }
  return json{ { "have", names } }.dump();
}

ConfigObjects decodeObjects(const std::string& text)
{
  ConfigObjects objects;
  try {
    const json body = json::parse(text);
    for (const json& item : body.at("objects")) {
      objects.push_back({ configuration::ObjectName(item.at("name").get<std::string>()),
                          base::Version(item.at("version").get<std::uint64_t>()),
                          item.at("value").get<std::string>() });
    }
  } catch (const std::exception& error) {
    throw ControlError(std::string("malformed configuration objects from a peer: ") + error.what());
  }
  return objects;
}

} // namespace

ConfigController::ConfigController(ControlContext& context,
                                   std::function<void()> onAdopted,
                                   std::function<void(const base::VmId&)> notify)
  : context_(context)
  , onAdopted_(std::move(onAdopted))
  , notify_(std::move(notify))
  , propagation_(context.self.vm)
{
}

void ConfigController::tick()
{
  std::set<base::VmId> peers;
  for (const base::VmId& id : context_.members.liveEntryVms(context_.now(), true)) {
    if (id != context_.self.vm) {
      peers.insert(id);
    }
  }
  propagation_.setPeers(peers);
  perform(propagation_.onTick(store_.digest(), context_.now()));
}

void ConfigController::onHeartbeat(const Heartbeat& heartbeat)
{
  peerDigests_[heartbeat.from] = heartbeat.configDigest;
  perform(propagation_.onHeartbeat(heartbeat.from,
                                   configuration::ConfigDigest::parse(heartbeat.configDigest),
                                   store_.digest(),
                                   context_.now()));
}

void ConfigController::adoptFromPlatform(const ConfigObjects& objects)
{
  adopt(objects, ConfigSource::Platform);
}

void ConfigController::adoptOwnChange(const ConfigObject& object)
{
  adopt({ object }, ConfigSource::Platform);
}

void ConfigController::adopt(const ConfigObjects& objects, ConfigSource source)
{
  const std::size_t adopted = store_.adoptAll(objects, source);
  if (adopted == 0) {
    return;
  }
  context_.counters.configAdoptions += adopted;
  onAdopted_();
  perform(propagation_.onAdopted(store_.digest(), context_.now()));
}

void ConfigController::perform(const configuration::PropagationActions& actions)
{
  for (const base::VmId& peer : actions.fetchFrom) {
    fetchFrom(peer);
  }
  for (const base::VmId& peer : actions.notify) {
    notify_(peer);
  }
}

void ConfigController::fetchFrom(const base::VmId& peer)
{
  const auto found = context_.members.findPeer(peer);
  if (!found) {
    return;
  }
  context_.io.post(
    found->peerAddress,
    "/peer/config",
    encodeInventory(store_.inventory()),
    context_.now() + kFetchTimeout,
    [this, peer](const transport::BufferedResponse& response) {
      if (response.ok()) {
        adopt(decodeObjects(response.body), ConfigSource::Peer);
      }
      perform(propagation_.onFetchResult(peer, response.ok(), store_.digest(), context_.now()));
    });
}

std::string ConfigController::answerFetch(const std::string& inventory) const
{
  configuration::ConfigInventory peerInventory;
  try {
    const json body = json::parse(inventory);
    for (const auto& [name, version] : body.at("have").items()) {
      peerInventory[configuration::ObjectName(name)] = base::Version(version.get<std::uint64_t>());
    }
  } catch (const std::exception& error) {
    throw ControlError(std::string("malformed configuration inventory from a peer: ") +
                       error.what());
  }
  json objects = json::array();
  for (const ConfigObject& object : store_.newerThan(peerInventory)) {
    objects.push_back({ { "name", object.name.value() },
                        { "version", object.version.value() },
                        { "value", object.value } });
  }
  return json{ { "objects", objects } }.dump();
}

} // namespace sycamore::control

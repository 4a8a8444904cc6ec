#include <test_cluster/Cluster.h>

#include <base/Error.h>
#include <test_cluster/JsonCall.h>
#include <test_cluster/StoredMap.h>
#include <test_process/WaitUntil.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <set>

namespace sycamore::test_cluster {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr auto kStartTimeout = 20s;

// Environment variable that names the directory in which logs and journals are kept after the test.
constexpr const char* kKeepVariable = "SYCAMORE_E2E_KEEP";

std::string makeDirectory()
{
  const char* keep = std::getenv(kKeepVariable);
  std::string path =
    keep != nullptr ? std::string(keep) : std::filesystem::temp_directory_path().string();
  path += "/sycamore-e2e-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) {
    throw base::Error("cannot create " + path);
  }
  return path;
}

json layoutConfig(const Cluster::Options& options)
{
  const json retry = { { "max_attempts", 3 }, { "budget_ratio", 0.2 } };
  return { { "service", "layout" },
           { "keyed", true },
           { "shards", options.shards },
           { "slots_per_server", options.slots },
           { "limits", { { "body_bytes", 200'000'000 } } },
           { "servers_check_tokens", true },
           { "votes", options.votes },
           { "domains", Cluster::domains() },
           { "cold_start", { { "limit", options.slots }, { "ramp_ms", 100 } } },
           { "methods",
             { { "plan", { { "idempotent", true }, { "deadline_ms", 60000 }, { "retry", retry } } },
               { "reset", { { "idempotent", false }, { "deadline_ms", 60000 } } } } } };
}

json labelConfig(const Cluster::Options& options)
{
  json config = layoutConfig(options);
  config["service"] = "label";
  config["keyed"] = false;
  config["methods"] = { { "browse", config["methods"]["plan"] },
                        { "print", config["methods"]["reset"] } };
  return config;
}

} // namespace

Cluster::Cluster(Options options)
  : options_(std::move(options))
  , directory_(makeDirectory())
  , platform_(PLATFORM_STUB, { "--port=0" }, directory_ + "/platform.log")
  , platformAddress_("127.0.0.1:" + std::to_string(platform_.waitPort(10s)))
{
  for (const std::string& domain : domains()) {
    putObject("config", "domain." + domain, { { "domain", domain }, { "state", "in" } });
  }
  putObject("config", "service.layout", layoutConfig(options_));
  putObject("config", "service.label", labelConfig(options_));
  // Entry VMs start first, so that the first shard map names three voters for each server.
  const auto all = domains();
  for (const std::string& domain : all) {
    for (unsigned i = 0; i < options_.vmsPerDomain; ++i) {
      startVm("vm-" + domain + std::to_string(i + 1), domain);
    }
  }
  waitReady(10s);
  for (unsigned i = 0; i < options_.layoutServers; ++i) {
    startServer("layout-" + std::to_string(i + 1), "layout", all[i % all.size()]);
  }
  for (unsigned i = 0; i < options_.labelServers; ++i) {
    startServer("label-" + std::to_string(i + 1), "label", all[i % all.size()]);
  }
  if (options_.vmsPerDomain > 0) {
    waitSettled(kStartTimeout);
  }
}

void Cluster::waitReady(base::Duration timeout) const
{
  const auto ready = [&] { return balancer_.ready().size() == vms_.size(); };
  if (!test_process::waitUntil(ready, timeout)) {
    throw base::Error("not every entry VM became ready in time");
  }
}

Cluster::~Cluster()
{
  if (std::getenv(kKeepVariable) == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
}

std::vector<std::string> Cluster::vmIds() const
{
  std::vector<std::string> ids;
  for (const auto& [id, vm] : vms_) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<std::string> Cluster::serverIds(const std::string& service) const
{
  std::vector<std::string> ids;
  for (const auto& [id, server] : servers_) {
    if (server->options().service == service) {
      ids.push_back(id);
    }
  }
  return ids;
}

void Cluster::startVm(const std::string& id, const std::string& domain)
{
  EntryVm::Options options{ id, domain, platformAddress_, {} };
  for (const auto& [other, vm] : vms_) {
    if (vm->isRunning() && other != id) {
      options.seedPeers.push_back(vm->peerAddress());
    }
  }
  vms_.erase(id);
  auto& vm = vms_[id] = std::make_unique<EntryVm>(options, directory_);
  registerVm(*vm);
  balancer_.setAddress(id, vm->callerAddress());
}

void Cluster::registerVm(const EntryVm& vm) const
{
  callJson("PUT",
           platformAddress_,
           "/admin/vms/" + vm.options().id,
           { { "role", "entry" },
             { "address", vm.callerAddress() },
             { "peer_address", vm.peerAddress() },
             { "operator_address", vm.callerAddress() },
             { "domain", vm.options().domain },
             { "service", "" },
             { "state", "live" } });
}

void Cluster::startServer(const std::string& id,
                          const std::string& service,
                          const std::string& domain)
{
  BackendServer::Options options{ id, domain, service, options_.slots, options_.serviceTimeMs };
  servers_.erase(id);
  servers_[id] = std::make_unique<BackendServer>(options, directory_);
  journals_[id] = directory_ + "/" + id + ".journal";
  registerServer(*servers_.at(id));
}

void Cluster::restartServer(const std::string& id)
{
  const auto options = servers_.at(id)->options();
  const int port = servers_.at(id)->port();
  servers_.erase(id);
  servers_[id] = std::make_unique<BackendServer>(options, directory_, port);
}

void Cluster::registerServer(const BackendServer& server) const
{
  callJson("PUT",
           platformAddress_,
           "/admin/vms/" + server.options().id,
           { { "role", "backend" },
             { "address", server.address() },
             { "domain", server.options().domain },
             { "service", server.options().service },
             { "state", "live" } });
}

void Cluster::removeVm(const std::string& id)
{
  balancer_.remove(id);
  vms_.erase(id);
  callJson("DELETE", platformAddress_, "/admin/vms/" + id);
}

void Cluster::removeServer(const std::string& id)
{
  servers_.erase(id);
  callJson("DELETE", platformAddress_, "/admin/vms/" + id);
}

void Cluster::setPlatformFaults(const json& faults) const
{
  callJson("POST", platformAddress_, "/faults", faults);
}

void Cluster::putObject(const std::string& kind, const std::string& name, const json& value)
{
  const std::string path = "/objects/" + kind + "/" + name;
  std::uint64_t version = 0;
  try {
    version = callJson("GET", platformAddress_, path).at("version").get<std::uint64_t>();
  } catch (const base::Error&) {
    version = 0;
  }
  callJson("PUT", platformAddress_, path + "?if_version=" + std::to_string(version), value);
}

json Cluster::storedMap(const std::string& service) const
{
  try {
    return callJson("GET", platformAddress_, "/objects/shardmap/" + service).at("value");
  } catch (const base::Error&) {
    return {};
  }
}

std::vector<std::string> Cluster::owners(const std::string& service) const
{
  const json map = storedMap(service);
  std::vector<std::string> owners(map.at("shard_count").get<std::size_t>());
  for (const json& row : map.at("shards")) {
    owners.at(row.at(0).get<std::size_t>()) = row.at(1).get<std::string>();
  }
  return owners;
}

void Cluster::waitBalanced(const std::string& service) const
{
  const base::SteadyClock clock;
  auto lastOwners = owners(service);
  base::TimePoint unchangedSince = clock.now();
  const auto isUnchanged = [&] {
    auto current = owners(service);
    if (current != lastOwners) {
      lastOwners = std::move(current);
      unchangedSince = clock.now();
    }
    return clock.now() - unchangedSince >= 2s;
  };
  if (!test_process::waitUntil(isUnchanged, 30s)) {
    throw base::Error("the owners of " + service + " did not stay unchanged for 2 s");
  }
}

std::string Cluster::holderOf(const std::string& server) const
{
  for (const auto& [id, vm] : vms_) {
    if (vm->isRunning()) {
      const auto held = vm->heldServers();
      if (std::find(held.begin(), held.end(), server) != held.end()) {
        return id;
      }
    }
  }
  return "";
}

std::string Cluster::describeUnsettled() const
{
  std::set<std::string> held;
  for (const auto& [id, vm] : vms_) {
    if (vm->isRunning()) {
      const auto more = vm->heldServers();
      held.insert(more.begin(), more.end());
    }
  }
  std::set<std::string> running;
  for (const auto& [id, server] : servers_) {
    if (server->isRunning()) {
      running.insert(id);
      if (!held.contains(id)) {
        return id + " has no lease holder";
      }
    }
  }
  for (const std::string service : { "layout", "label" }) {
    const json map = storedMap(service);
    if (serverIds(service).empty()) {
      continue;
    }
    if (!map.is_object()) {
      return service + " has no shard map";
    }
    // A service with a single server has no other server as successor.
    const std::string unserved = describeUnservedShard(map, running, serverIds(service).size() > 1);
    if (!unserved.empty()) {
      return service + " " + unserved;
    }
    for (const std::string& id : serverIds(service)) {
      if (running.contains(id) && !map.at("servers").contains(id)) {
        return id + " is not in the shard map";
      }
      if (running.contains(id)) {
        const json& voters = map.at("servers").at(id).at("voters");
        const bool hasThreeRunningVoters =
          voters.size() == 3 && std::all_of(voters.begin(), voters.end(), [&](const json& voter) {
            const auto vm = vms_.find(voter.get<std::string>());
            return vm != vms_.end() && vm->second->isRunning();
          });
        if (!hasThreeRunningVoters) {
          return id + " has the voters " + voters.dump();
        }
      }
    }
  }
  return "";
}

bool Cluster::isSettled() const
{
  return describeUnsettled().empty();
}

void Cluster::waitSettled(base::Duration timeout) const
{
  if (!test_process::waitUntil([&] { return isSettled(); }, timeout)) {
    throw base::Error("the cluster did not reach its expected state: " + describeUnsettled());
  }
}

std::vector<Execution> Cluster::executions() const
{
  std::vector<Execution> all;
  for (const auto& [server, path] : journals_) {
    auto more = readJournal(server, path);
    all.insert(all.end(), more.begin(), more.end());
  }
  return all;
}

std::vector<Violation> Cluster::check(const std::vector<CallRecord>& calls) const
{
  auto violations = HistoryChecker({ "reset", "print" }).check(executions(), calls);
  for (const auto& [id, server] : servers_) {
    if (!server->isRunning()) {
      continue;
    }
    const auto exceeded = server->stats().at("slots_exceeded").get<std::uint64_t>();
    if (exceeded > 0) {
      violations.push_back(
        { "slots", id + " refused " + std::to_string(exceeded) + " requests above its slots" });
    }
  }
  return violations;
}

} // namespace sycamore::test_cluster

#include <test_cluster/EntryVm.h>

#include <base/Error.h>
#include <test_cluster/JsonCall.h>

#include <fstream>
#include <sstream>

namespace sycamore::test_cluster {

using nlohmann::json;

namespace {

constexpr std::chrono::seconds kStartTimeout{ 10 };

std::string writeSettings(const EntryVm::Options& options, const std::string& directory)
{
  const std::string anyPort = "127.0.0.1:0";
  const json settings = {
    { "vm", options.id },
    { "domain", options.domain },
    { "platform", options.platformAddress },
    { "seed_peers", options.seedPeers },
    { "listen",
      { { "callers", anyPort },
        { "peers", anyPort },
        { "status", anyPort },
        { "operators", anyPort } } },
    { "limits", { { "max_requests", 128 }, { "max_connections", 1024 }, { "drain_ms", 8000 } } },
    { "operators", { { "allow_without_token", true } } },
    { "debug_faults", true }
  };
  std::string path = directory + "/" + options.id + ".json";
  std::ofstream(path) << settings.dump();
  return path;
}

std::string wordAfter(const std::string& line, const std::string& prefix)
{
  std::istringstream words(line);
  for (std::string word; words >> word;) {
    if (word.starts_with(prefix)) {
      return word.substr(prefix.size());
    }
  }
  throw base::Error("no " + prefix + " in \"" + line + "\"");
}

} // namespace

EntryVm::EntryVm(Options options, const std::string& directory)
  : options_(std::move(options))
  , process_(SYCAMORED,
             { "--settings=" + writeSettings(options_, directory) },
             directory + "/" + options_.id + ".log")
{
  const std::string line = process_.waitListening(kStartTimeout);
  callerAddress_ = wordAfter(line, "callers=");
  peerAddress_ = wordAfter(line, "peers=");
  statusAddress_ = wordAfter(line, "status=");
}

void EntryVm::kill()
{
  process_.kill();
  running_ = false;
}

std::vector<std::string> EntryVm::heldServers() const
{
  // The answer lists the held servers. The heartbeat names the receiver itself as the sender, so
  // that it changes nothing there.
  const json heartbeat = { { "from", options_.id },     { "incarnation", 1 },
                           { "address", peerAddress_ }, { "domain", options_.domain },
                           { "leaving", false },        { "held", json::array() },
                           { "config_version", "" },    { "map_generations", json::object() },
                           { "quarantine_digest", 0 } };
  std::vector<std::string> held;
  try {
    const json answer = callJson("POST", peerAddress_, "/peer/heartbeat", heartbeat);
    for (const json& row : answer.at("held")) {
      held.push_back(row.at(0).get<std::string>());
    }
  } catch (const base::Error&) {
    held.clear();
  }
  return held;
}

void EntryVm::setUnreachable(const std::vector<std::string>& addresses) const
{
  callJson("POST", statusAddress_, "/debug/faults", { { "unreachable", addresses } });
}

std::uint64_t EntryVm::peakMemoryKb() const
{
  static const std::string kField = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(process_.pid()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kField)) {
      return std::stoull(line.substr(kField.size()));
    }
  }
  throw base::Error("/proc has no VmHWM of " + options_.id);
}

} // namespace sycamore::test_cluster

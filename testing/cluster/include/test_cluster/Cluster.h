#pragma once

#include <test_cluster/BackendServer.h>
#include <test_cluster/Balancer.h>
#include <test_cluster/EntryVm.h>
#include <test_cluster/HistoryChecker.h>
#include <test_process/TestProcess.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sycamore::test_cluster {

// A whole deployment on loopback: the platform, failure domains a, b and c with entry VMs, and
// backend servers of the service "layout" (sharded by key; methods plan, idempotent, and reset,
// not idempotent) and of "label" (without keys; browse, idempotent, and print, not idempotent).
// Entry VMs are named vm-<domain><number>, servers <service>-<number>, spread over the domains in
// turn. Everything ends with its object. Not thread-safe; use it from the thread that made it.
class Cluster
{
public:
  struct Options
  {
    unsigned vmsPerDomain = 2;
    unsigned layoutServers = 6;
    unsigned labelServers = 3;
    unsigned shards = 64;
    // Votes of "layout": "hold" or "move".
    std::string votes = "hold";
    unsigned slots = 2;
    unsigned serviceTimeMs = 2;
  };

  // Returns when every service is served, or at once without entry VMs. Throws base::Error if that
  // takes more than 20 s.
  explicit Cluster(Options options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  Balancer& balancer() { return balancer_; }
  EntryVm& vm(const std::string& id) { return *vms_.at(id); }
  BackendServer& server(const std::string& id) { return *servers_.at(id); }
  std::vector<std::string> vmIds() const;
  std::vector<std::string> serverIds(const std::string& service) const;

  // The ids of the platform's list change with these, except by the kill of the process alone.
  void startVm(const std::string& id, const std::string& domain);
  void startServer(const std::string& id, const std::string& service, const std::string& domain);
  // Starts it again under its id and address.
  void restartServer(const std::string& id);
  void removeVm(const std::string& id);
  void removeServer(const std::string& id);

  void setPlatformFaults(const nlohmann::json& faults) const;
  const std::string& platformAddress() const { return platformAddress_; }
  void putObject(const std::string& kind, const std::string& name, const nlohmann::json& value);
  // The stored shard map, or null.
  nlohmann::json storedMap(const std::string& service) const;

  // The owner of each shard in the stored map, by index.
  std::vector<std::string> owners(const std::string& service) const;
  // Waits until the owners have not changed for 2 s; throws base::Error after 30 s.
  void waitBalanced(const std::string& service) const;

  // The entry VM that holds the server's tenancy, or "".
  std::string holderOf(const std::string& server) const;

  // Waits until each entry VM is ready for callers; throws base::Error after the timeout.
  void waitReady(base::Duration timeout) const;

  // Whether every running server is held and has three running voters, and no shard belongs, or
  // would pass, to another than a running server.
  bool isSettled() const;
  // Waits for it; throws base::Error with what is missing.
  void waitSettled(base::Duration timeout) const;

  // All executions so far, those of killed servers included.
  std::vector<Execution> executions() const;
  // Violations of the invariants, with the refusals of slots by running servers.
  std::vector<Violation> check(const std::vector<CallRecord>& calls) const;

  static std::vector<std::string> domains() { return { "a", "b", "c" }; }

private:
  void listVm(const EntryVm& vm) const;
  void listServer(const BackendServer& server) const;
  std::string unsettled() const;

  const Options options_;
  std::string directory_;
  test_process::TestProcess platform_;
  std::string platformAddress_;
  std::map<std::string, std::unique_ptr<EntryVm>> vms_;
  std::map<std::string, std::unique_ptr<BackendServer>> servers_;
  std::map<std::string, std::string> journals_;
  Balancer balancer_;
};

} // namespace sycamore::test_cluster

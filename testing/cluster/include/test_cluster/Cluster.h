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

// A complete deployment on loopback: the platform, failure domains a, b and c with entry VMs, and
// backend servers of the service "layout" (sharded by key; methods plan, idempotent, and reset,
// not idempotent) and of "label" (without keys; browse, idempotent, and print, not idempotent).
// Entry VMs are named vm-<domain><number>, servers <service>-<number>, spread over the domains in
// turn. The destructor ends all processes. Not thread-safe; use it from the thread that created it.
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

  // Starts all processes and returns once isSettled() holds; without entry VMs it returns
  // without waiting. Throws base::Error if isSettled() does not hold within 20 s.
  explicit Cluster(Options options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  Balancer& balancer() { return balancer_; }
  EntryVm& vm(const std::string& id) { return *vms_.at(id); }
  BackendServer& server(const std::string& id) { return *servers_.at(id); }
  std::vector<std::string> vmIds() const;
  std::vector<std::string> serverIds(const std::string& service) const;

  // These update the platform's VM list, unlike kill() on the process.
  void startVm(const std::string& id, const std::string& domain);
  void startServer(const std::string& id, const std::string& service, const std::string& domain);
  // Starts the server again under the same id and address.
  void restartServer(const std::string& id);
  void removeVm(const std::string& id);
  void removeServer(const std::string& id);

  void setPlatformFaults(const nlohmann::json& faults) const;
  const std::string& platformAddress() const { return platformAddress_; }
  void putObject(const std::string& kind, const std::string& name, const nlohmann::json& value);
  // Returns the stored shard map, or null if there is none.
  nlohmann::json storedMap(const std::string& service) const;

  // Returns the owner of each shard in the stored map, by shard index.
  std::vector<std::string> owners(const std::string& service) const;
  // Waits until the owners have not changed for 2 s; throws base::Error after 30 s.
  void waitBalanced(const std::string& service) const;

  // Returns the entry VM that holds the server's lease, or "".
  std::string holderOf(const std::string& server) const;

  // Waits until each entry VM is ready for callers; throws base::Error after the timeout.
  void waitReady(base::Duration timeout) const;

  // Returns whether an entry VM holds the lease of every running server, every running server has
  // three running voters, and the owner and the successor of every shard are running servers.
  bool isSettled() const;
  // Waits until isSettled(); after the timeout, throws base::Error that names what is missing.
  void waitSettled(base::Duration timeout) const;

  // Returns all executions so far, including those of killed servers.
  std::vector<Execution> executions() const;
  // Returns the violations of the invariants. Requests that a running server refused because all
  // its slots were in use count as violations too.
  std::vector<Violation> check(const std::vector<CallRecord>& calls) const;

  static std::vector<std::string> domains() { return { "a", "b", "c" }; }

private:
  void registerVm(const EntryVm& vm) const;
  void registerServer(const BackendServer& server) const;
  std::string describeUnsettled() const;

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

#pragma once

#include <test_cluster/Execution.h>
#include <test_process/TestProcess.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sycamore::test_cluster {

// A backend stub in a process of its own. Its journal file remains after it ends. Not thread-safe.
class BackendServer
{
public:
  struct Options
  {
    std::string id;
    std::string domain;
    std::string service;
    unsigned slots = 2;
    unsigned serviceTimeMs = 2;
  };

  // Starts the process, which writes its journal and log into the directory. Port 0 picks a free
  // port.
  BackendServer(Options options, const std::string& directory, int port = 0);

  const Options& options() const { return options_; }
  const std::string& address() const { return address_; }
  int port() const { return port_; }
  bool isRunning() const { return running_; }
  test_process::TestProcess& process() { return process_; }

  void kill();
  nlohmann::json stats() const;
  void setFaults(const nlohmann::json& faults) const;
  void drain() const;

private:
  const Options options_;
  test_process::TestProcess process_;
  int port_;
  std::string address_;
  bool running_ = true;
};

// Reads the executions from a journal file; of each execution, the latest entry counts.
std::vector<Execution> readJournal(const std::string& server, const std::string& path);

} // namespace sycamore::test_cluster

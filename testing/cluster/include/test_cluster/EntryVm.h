#pragma once

#include <test_process/TestProcess.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sycamore::test_cluster {

// A sycamored in a process of its own. Not thread-safe.
class EntryVm
{
public:
  struct Options
  {
    std::string id;
    std::string domain;
    std::string platformAddress;
    std::vector<std::string> seedPeers;
  };

  // Starts the process; its settings and its log are written into the directory.
  EntryVm(Options options, const std::string& directory);

  const Options& options() const { return options_; }
  const std::string& callerAddress() const { return callerAddress_; }
  const std::string& peerAddress() const { return peerAddress_; }
  bool isRunning() const { return running_; }
  test_process::TestProcess& process() { return process_; }

  void kill();

  // Returns the servers whose lease this VM holds; empty if the VM does not answer.
  std::vector<std::string> heldServers() const;

  // Makes the addresses unreachable from this VM; replaces the previous list.
  void setUnreachable(const std::vector<std::string>& addresses) const;

  // Returns the peak resident memory so far in kB.
  std::uint64_t peakMemoryKb() const;

private:
  const Options options_;
  test_process::TestProcess process_;
  std::string callerAddress_;
  std::string peerAddress_;
  std::string statusAddress_;
  bool running_ = true;
};

} // namespace sycamore::test_cluster

#pragma once

#include <test_process/TestProcess.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sycamore::test_cluster {

// A running sycamored. Not thread-safe.
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

  // Writes settings and log into the directory.
  EntryVm(Options options, const std::string& directory);

  const Options& options() const { return options_; }
  const std::string& callerAddress() const { return callerAddress_; }
  const std::string& peerAddress() const { return peerAddress_; }
  bool isRunning() const { return running_; }
  test_process::TestProcess& process() { return process_; }

  void kill();

  // The servers whose tenancy this VM holds. Empty without an answer.
  std::vector<std::string> heldServers() const;

  // From now on this VM reaches none of the addresses.
  void cutOff(const std::vector<std::string>& addresses) const;

  // The largest resident memory so far in kB.
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

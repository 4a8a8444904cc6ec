#pragma once

#include <configuration/ChangeCoordinator.h>
#include <transport/HttpClientPool.h>

#include <string>

namespace sycamore::daemon {

// Carries configuration changes to the platform and finds out what became of them. Calls block, so
// they belong on operators' threads. Safe from all threads.
class ConfigChanger
{
public:
  ConfigChanger(transport::HttpClientPool& clients, std::string platformAddress);

  // Runs a change to its outcome, at most until its deadline. `known` is what this VM has of the
  // object.
  configuration::ChangeOutcome run(const configuration::ConfigChange& change,
                                   std::optional<configuration::ConfigObject> known);

private:
  configuration::WriteResult write(const configuration::WriteStep& step, base::TimePoint deadline);
  configuration::ReadResult read(const configuration::ReadStep& step, base::TimePoint deadline);

  transport::HttpClientPool& clients_;
  const std::string platformAddress_;
};

} // namespace sycamore::daemon

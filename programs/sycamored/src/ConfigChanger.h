#pragma once

#include <configuration/ChangeCoordinator.h>
#include <transport/HttpClientPool.h>

#include <string>

namespace sycamore::daemon {

// Writes configuration changes to the platform and determines their outcome. Calls block, so they
// must be made on the threads of operators' calls only. Thread-safe.
class ConfigChanger
{
public:
  ConfigChanger(transport::HttpClientPool& clients, std::string platformAddress);

  // Runs a change until its outcome is known, at most until its deadline. `known` is the version of
  // the object that this VM has, if any.
  configuration::ChangeOutcome run(const configuration::ConfigChange& change,
                                   std::optional<configuration::ConfigObject> known);

private:
  configuration::WriteResult write(const configuration::WriteStep& step, base::TimePoint deadline);
  configuration::ReadResult read(const configuration::ReadStep& step, base::TimePoint deadline);

  transport::HttpClientPool& clients_;
  const std::string platformAddress_;
};

} // namespace sycamore::daemon

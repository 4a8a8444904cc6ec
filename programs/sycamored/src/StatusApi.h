#pragma once

#include "Telemetry.h"

#include <control/ControlThread.h>
#include <control/Controller.h>
#include <router/DispatcherTable.h>
#include <transport/FaultSwitch.h>
#include <transport/HttpServer.h>

#include <atomic>
#include <string>

namespace sycamore::daemon {

// Serves the status port: /metrics, /healthz, /readyz, and with debug_faults the fault switch.
class StatusApi
{
public:
  StatusApi(control::ControlThread& thread,
            control::Controller& controller,
            router::DispatcherTable& dispatchers,
            const Telemetry& telemetry,
            transport::FaultSwitch& faults,
            bool debugFaults);

  void handle(transport::ServerRequest& request, transport::ServerResponse& response);

  // Makes /readyz report from now on that the VM accepts no new callers.
  void setDraining() { draining_ = true; }

private:
  std::string metrics() const;
  void setFaults(transport::ServerRequest& request, transport::ServerResponse& response);

  control::ControlThread& thread_;
  control::Controller& controller_;
  router::DispatcherTable& dispatchers_;
  const Telemetry& telemetry_;
  transport::FaultSwitch& faults_;
  const bool debugFaults_;
  std::atomic<bool> draining_{ false };
};

} // namespace sycamore::daemon

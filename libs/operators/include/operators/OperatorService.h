#pragma once

#include <base/Time.h>
#include <operators/OperatorBackend.h>
#include <operators/OperatorServiceSettings.h>

#include <cstdint>
#include <memory>

namespace sycamore::operators {

// gRPC server for operators. Checks tokens, deadlines and message sizes, and forwards each call to
// the backend on gRPC's own threads.
class OperatorService
{
public:
  // Starts the server. The backend must outlive the service. Throws OperatorError if the address
  // can't be bound or the settings are invalid.
  OperatorService(OperatorServiceSettings settings, OperatorBackend& backend);

  // Calls stop() with a grace period of 1 s.
  ~OperatorService();

  OperatorService(const OperatorService&) = delete;
  OperatorService& operator=(const OperatorService&) = delete;

  // Returns the port that the server is bound to.
  std::uint16_t port() const;

  // Refuses new calls, ends watches and waits for running calls to finish; calls that still run
  // after the grace period are cancelled. May be called repeatedly and from any thread.
  void stop(base::milliseconds grace);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace sycamore::operators

#pragma once

#include <base/Time.h>
#include <operators/OperatorBackend.h>
#include <operators/OperatorServiceSettings.h>

#include <cstdint>
#include <memory>

namespace sycamore::operators {

// The gRPC server for operators. Checks tokens, deadlines and sizes, and forwards each call to the
// backend on gRPC's own threads.
class OperatorService
{
public:
  // Starts to serve. The backend must outlive the service. Throws OperatorError if the address
  // can't be bound or the settings make no sense.
  OperatorService(OperatorServiceSettings settings, OperatorBackend& backend);

  // Stops as stop() does, with 1 s for running calls.
  ~OperatorService();

  OperatorService(const OperatorService&) = delete;
  OperatorService& operator=(const OperatorService&) = delete;

  // The bound port.
  std::uint16_t port() const;

  // Refuses new calls, ends watches, lets running calls finish until the given time and cancels
  // them then. May be called more than once, from any thread.
  void stop(base::milliseconds grace);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace sycamore::operators

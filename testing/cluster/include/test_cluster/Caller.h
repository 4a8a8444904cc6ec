#pragma once

#include <test_cluster/Call.h>
#include <test_cluster/CallRecord.h>
#include <transport/FaultSwitch.h>
#include <transport/HttpClientPool.h>

#include <string>

namespace sycamore::test_cluster {

// Sends requests as callers do, and checks that each answer is complete and belongs to its request.
// Thread-safe.
class Caller
{
public:
  Caller();

  // Returns a new UUIDv7.
  static std::string newRequestId();

  // Sends the call once to the caller address of an entry VM. An empty request id is not
  // sent.
  CallRecord send(const std::string& address, const Call& call);

private:
  transport::FaultSwitch faults_;
  transport::HttpClientPool clients_;
};

} // namespace sycamore::test_cluster

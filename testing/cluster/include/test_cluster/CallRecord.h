#pragma once

#include <transport/HttpExchange.h>

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::test_cluster {

// What a caller sent once and what came back. Times are monotonic nanoseconds of the host.
struct CallRecord
{
  std::string requestId;
  std::string service;
  std::string method;
  std::optional<std::string> key;
  unsigned attempt = 1;
  // Caller address of the entry VM.
  std::string address;
  std::int64_t sentNs = 0;
  std::int64_t receivedNs = 0;

  transport::ExchangeResult result = transport::ExchangeResult::NotSent;
  int status = 0;
  // Sycamore-Outcome, Sycamore-Reason and Sycamore-Server; empty without an answer.
  std::string outcome;
  std::string reason;
  std::string server;
  // How the answer differs from the whole answer to this request; empty when it doesn't.
  std::string mismatch;

  bool isAnswered() const { return result == transport::ExchangeResult::Complete; }
  bool isRan() const { return isAnswered() && outcome == "ran" && status == 200; }
  bool isNotRun() const { return isAnswered() && outcome == "not-run"; }
};

} // namespace sycamore::test_cluster

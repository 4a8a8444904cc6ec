#pragma once

#include <transport/HttpExchange.h>

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::test_cluster {

// One attempt of a caller and its result. Times are the host's monotonic clock in nanoseconds.
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
  // How the answer differs from the complete, expected answer to this request; empty if it does
  // not.
  std::string mismatch;

  bool isAnswered() const { return result == transport::ExchangeResult::Complete; }
  bool isServed() const { return isAnswered() && outcome == "ran" && status == 200; }
  bool isRefused() const { return isAnswered() && outcome == "not-run"; }
};

} // namespace sycamore::test_cluster

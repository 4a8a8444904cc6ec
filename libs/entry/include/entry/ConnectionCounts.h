#pragma once

#include <entry/ServerConnection.h>

#include <base/Ids.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace sycamore::entry {

// Counts, by service, of the connections that requests were sent on. Opening a connection costs a
// server time, and servers limit their number. Used by one thread only.
class ConnectionCounts
{
public:
  struct Counts
  {
    // Requests on a connection of their own, and on one that had carried another request.
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    // Connections that ended before a byte of their first request was sent, and those that ended
    // after it, but before a byte of an answer.
    std::uint64_t failed = 0;
    std::uint64_t reset = 0;
  };

  void record(const base::ServiceId& service, const ExchangeResult& result);

  const std::map<base::ServiceId, Counts>& byService() const { return byService_; }

  // Returns the counts as a JSON object of lists: opened, reused, failed, reset.
  nlohmann::json toJson() const;

  // Appends the counts in Prometheus' text format.
  void write(std::string& out) const;

private:
  std::map<base::ServiceId, Counts> byService_;
};

// Return whether a server ended a new connection before anything was sent on it, as servers with
// too many connections do, or after that, but without a byte of an answer.
bool isResetBeforeSend(const ExchangeResult& result);
bool isResetWhenNew(const ExchangeResult& result);

} // namespace sycamore::entry

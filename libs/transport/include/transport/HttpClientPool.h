#pragma once

#include <base/Time.h>
#include <transport/FaultSwitch.h>
#include <transport/HttpExchange.h>

#include <memory>
#include <string>

namespace sycamore::transport {

// Limits of a client pool.
struct ClientPoolLimits
{
  base::Duration connectTimeout = std::chrono::milliseconds(250);
  // An idle connection older than this is not used again: something between the two ends may have
  // lost track of it.
  base::Duration maxIdle = std::chrono::seconds(10);
  // Idle connections kept per address.
  std::size_t maxIdlePerAddress = 64;
};

// Ends an exchange from another thread. Safe from all threads.
class CancelHandle
{
public:
  CancelHandle();
  ~CancelHandle();
  CancelHandle(const CancelHandle&) = delete;
  CancelHandle& operator=(const CancelHandle&) = delete;

  // Breaks the exchange off, now or when it starts.
  void cancel();
  bool isCancelled() const;

private:
  friend class HttpClientPool;
  struct State;
  std::unique_ptr<State> state_;
};

// Keep-alive HTTP/1.1 connections to other processes, over cpp-httplib. Never sends a request
// twice by itself. A connection that broke, timed out or was aborted is not used again, and a
// timeout also discards the idle connections to the same address that were opened before, since
// they may have gone silent together. Safe from all threads.
class HttpClientPool
{
public:
  HttpClientPool(ClientPoolLimits limits, const FaultSwitch& faults);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  // Sends a request and receives the answer on the calling thread. A response without a length
  // that only ends with the connection counts as Broken, since its end can't be told from a loss.
  // The deadline bounds the wait for each part of the answer.
  ExchangeResult exchange(const std::string& address,
                          const ClientRequest& request,
                          const ResponseReceiver& receiver,
                          base::TimePoint deadline,
                          CancelHandle* cancel = nullptr);

  // Sends a request and holds the answer in memory, up to maxBody bytes (more breaks it off).
  BufferedResponse fetch(const std::string& address,
                         const ClientRequest& request,
                         base::TimePoint deadline,
                         std::size_t maxBody = std::size_t(4) << 20);

  // Discards all idle connections to an address.
  void discardIdle(const std::string& address);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace sycamore::transport

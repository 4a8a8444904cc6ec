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
  // A connection that has been idle for longer is not reused: a middlebox between the two ends may
  // have dropped its state.
  base::Duration maxIdle = std::chrono::seconds(10);
  // Maximum number of idle connections kept per address.
  std::size_t maxIdlePerAddress = 64;
};

// Cancels an exchange from another thread. Thread-safe.
class CancelHandle
{
public:
  CancelHandle();
  ~CancelHandle();
  CancelHandle(const CancelHandle&) = delete;
  CancelHandle& operator=(const CancelHandle&) = delete;

  // Aborts the exchange, or prevents it if it has not started yet.
  void cancel();
  bool isCancelled() const;

private:
  friend class HttpClientPool;
  struct State;
  std::unique_ptr<State> state_;
};

// Pool of keep-alive HTTP/1.1 connections to other processes, based on cpp-httplib. Never retries a
// request by itself. A connection that broke, timed out or was aborted is not reused, nor is one on
// which bytes arrived while it was idle, such as a second copy of an answer. A timeout also
// discards the idle connections to the same address that exist at that time, since they may have
// become unresponsive for the same reason. Thread-safe.
class HttpClientPool
{
public:
  HttpClientPool(ClientPoolLimits limits, const FaultSwitch& faults);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  // Sends a request and receives the answer on the calling thread. An answer whose end is marked
  // only by the close of the connection counts as ConnectionLost, since it can't be distinguished
  // from a truncated one. The head must be complete at the deadline, which also bounds the wait for
  // each part of the body. A head or a line between chunks that is too long ends the exchange.
  ExchangeResult exchange(const std::string& address,
                          const ClientRequest& request,
                          const ResponseReceiver& receiver,
                          base::TimePoint deadline,
                          CancelHandle* cancel = nullptr);

  // Sends a request and buffers the answer in memory. A body longer than maxBody bytes aborts the
  // exchange.
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

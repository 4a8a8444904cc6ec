#pragma once

#include "DispatcherFixture.h"

#include <entry/CallerServer.h>

#include <array>
#include <memory>
#include <string>

namespace sycamore::entry {

// A caller with one connection. Collects the bytes that arrive in `received`.
struct Caller
{
  Caller(asio::io_context& context, std::uint16_t port);

  void send(const std::string& bytes);

  tcp::socket socket;
  std::array<char, 4096> chunk{};
  std::string received;
  bool ended = false;
  // Expires with this object, which may be destroyed before its handlers run.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

private:
  void read();
};

// A dispatcher that callers reach at a port of the loopback interface. Its plain server answers
// `ok-` and the request's id.
struct CallerFixture : DispatcherFixture
{
  explicit CallerFixture(std::uint64_t memoryBytes = 256ULL * 1024 * 1024);

  // Lets the plain server leave requests from now on without an answer.
  void silenceServer() { *silent_ = true; }

  std::uint16_t port;
  CallerServer callers;

private:
  std::shared_ptr<bool> silent_ = std::make_shared<bool>(false);
};

// Returns the bytes of a request to the idempotent route of the plain service.
std::string get(const std::string& id);

} // namespace sycamore::entry

#include "FakeServer.h"

#include <entry/SteadyTime.h>
#include <entry/VmRegistry.h>

#include <StoreTexts.h>

#include <doctest/doctest.h>

#include <set>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;

namespace {

std::string answer(const std::string& body)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a coordinator that knows none of the VMs that don't report to it.
TEST_CASE("a coordinator lists the registered VMs again if the first list gets no answer")
{
  asio::io_context context;
  std::string registered;
  unsigned lists = 0;
  FakeServer server(context, [&](const std::string& request) {
    if (request.starts_with("POST")) {
      registered = writtenObject(request, 5);
      return FakeServer::Reaction{ answer(registered) };
    }
    return FakeServer::Reaction{ ++lists == 1 ? "" : answer(listBody(registered, 5)) };
  });
  EventLog log("vm");
  ByteCounts bytes;
  CallClient calls(context, BufferQuota(1024 * 1024));
  StoreClient store(calls, { "127.0.0.1", server.port() }, bytes);
  std::set<base::VmId> listed;
  VmRegistry registry(
    context,
    store,
    log,
    base::VmId("front-1"),
    { "10.0.0.1", base::DomainId("a"), 1 },
    [] { return true; },
    [&](const base::VmId& vm, const dispatch::EntryVmRecord&) { listed.insert(vm); },
    [] {});
  registry.start();
  const base::TimePoint deadline = clockNow() + std::chrono::seconds(3);
  while (listed.empty() && clockNow() < deadline) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(20));
  }
  CHECK(listed.contains(base::VmId("front-1")));
}

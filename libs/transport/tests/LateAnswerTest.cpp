#include <base/Time.h>
#include <doctest/doctest.h>
#include <transport/HttpClientPool.h>
#include <transport/testing/ScriptedServer.h>

using namespace sycamore;
using namespace sycamore::transport;
using namespace sycamore::transport::testing;

TEST_CASE("bytes that arrive on an idle connection aren't taken for the answer to the next request")
{
  ScriptedServer server([](const ScriptedServer::Received& request) {
    return ScriptedServer::answer(200, request.text.substr(0, request.text.find(" HTTP")));
  });
  const FaultSwitch faults;
  HttpClientPool pool({}, faults);
  const auto get = [&](const std::string& path) {
    ClientRequest request;
    request.method = "GET";
    request.path = path;
    const auto deadline = base::SteadyClock().now() + std::chrono::seconds(10);
    return pool.fetch(server.address(), request, deadline).body;
  };
  CHECK(get("/first") == "GET /first");
  REQUIRE(server.sendUnasked(0, ScriptedServer::answer(200, "GET /first")));
  CHECK(get("/second") == "GET /second");
  CHECK(get("/third") == "GET /third");
  // The third request reuses the connection of the second one.
  REQUIRE(server.received().size() == 3);
  CHECK(server.received()[1].connection == 1);
  CHECK(server.received()[2].connection == 1);
}

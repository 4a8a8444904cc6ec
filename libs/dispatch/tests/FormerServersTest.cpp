#include <dispatch/FormerServers.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::seconds;

namespace {

std::map<base::ServerId, BackendServer> registered(std::int64_t born, const std::string& address)
{
  BackendServer server;
  server.id = base::ServerId("s0");
  server.born = born;
  server.address = address;
  return { { server.id, server } };
}

} // namespace

TEST_CASE("servers whose entries were replaced or removed are remembered for a while")
{
  base::ManualClock clock;
  FormerServers former;
  former.onServersChanged(registered(1, "10.0.0.1:80"), registered(1, "10.0.0.1:80"), clock.now());
  CHECK(former.servers(clock.now()).empty());
  former.onServersChanged(registered(1, "10.0.0.1:80"), registered(2, "10.0.0.2:80"), clock.now());
  former.onServersChanged(registered(2, "10.0.0.2:80"), {}, clock.now());
  REQUIRE(former.servers(clock.now()).size() == 2);
  CHECK(former.servers(clock.now()).front().address == "10.0.0.1:80");
  clock.advance(seconds(60));
  CHECK(former.servers(clock.now()).empty());
}

// Guards against a list that grows for as long as the VM isn't the coordinator, which alone reads
// it.
TEST_CASE("former servers are forgotten without being read")
{
  base::ManualClock clock;
  FormerServers former;
  for (std::int64_t born = 1; born < 100; ++born) {
    former.onServersChanged(
      registered(born, "10.0.0.1:80"), registered(born + 1, "10.0.0.1:80"), clock.now());
    clock.advance(seconds(20));
  }
  CHECK(former.size() == 1);
}

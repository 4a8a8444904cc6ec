#include <dispatch/LeavingServers.h>

#include <doctest/doctest.h>

#include <string>

using namespace sycamore;
using namespace sycamore::dispatch;

namespace {

const base::ServerId kId{ "s" };

std::map<base::ServerId, BackendServer> registeredAs(std::int64_t born)
{
  BackendServer server;
  server.id = kId;
  server.born = born;
  return { { kId, server } };
}

bool isDrainingAfterApply(LeavingServers& leaving, std::int64_t born)
{
  auto servers = registeredAs(born);
  leaving.apply(servers);
  return servers.at(kId).draining;
}

} // namespace

// Guards against requests for a server that has said that it leaves, when its entry lapses and
// comes back or says that it is ready.
TEST_CASE("a server that leaves stays out in this life, whatever its entry says")
{
  LeavingServers leaving;
  CHECK_FALSE(isDrainingAfterApply(leaving, 5));
  CHECK(leaving.add({ kId, 5 }));
  CHECK_FALSE(leaving.add({ kId, 5 }));
  CHECK(isDrainingAfterApply(leaving, 5));
  CHECK(leaving.registered().size() == 1);
  std::map<base::ServerId, BackendServer> none;
  leaving.apply(none);
  CHECK(leaving.registered().empty());
  CHECK(isDrainingAfterApply(leaving, 5));
}

TEST_CASE("a later life of a server that left is used again")
{
  LeavingServers leaving;
  leaving.add({ kId, 5 });
  CHECK_FALSE(isDrainingAfterApply(leaving, 6));
  CHECK_FALSE(leaving.contains({ kId, 6 }));
  // A late report of another VM about the earlier life changes nothing.
  leaving.add({ kId, 5 });
  CHECK_FALSE(isDrainingAfterApply(leaving, 6));
  CHECK(leaving.add({ kId, 6 }));
  CHECK(isDrainingAfterApply(leaving, 6));
}

TEST_CASE("the memory for servers that have left is bounded")
{
  LeavingServers leaving;
  std::map<base::ServerId, BackendServer> servers = registeredAs(5);
  leaving.add({ kId, 5 });
  for (int i = 0; i < 5000; ++i) {
    leaving.add({ base::ServerId("gone-" + std::to_string(i)), 1 });
  }
  leaving.apply(servers);
  CHECK(leaving.contains({ kId, 5 }));
  CHECK_FALSE(leaving.contains({ base::ServerId("gone-0"), 1 }));
}

#include "DispatcherFixture.h"

#include <ServerTexts.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;
using std::chrono::milliseconds;

namespace {

FakeServer::React served(const std::string& extraHeaders = "")
{
  return [extraHeaders](const std::string& request) {
    return FakeServer::Reaction{ validAnswer(requestIdOf(request), "ok", extraHeaders) };
  };
}

FakeServer::React full(const std::string& extraHeaders = "")
{
  return [extraHeaders](const std::string& request) {
    return FakeServer::Reaction{ fullAnswer(requestIdOf(request), extraHeaders) };
  };
}

// Sends idempotent requests one after the other and returns how many were served.
int sendRequests(DispatcherFixture& fixture, int count)
{
  int answered = 0;
  for (int i = 0; i < count; ++i) {
    const auto answer = fixture.sendAndAwait("GET", "/read/x");
    answered += answer && answer->status == 200 ? 1 : 0;
  }
  return answered;
}

} // namespace

// Guards against requests for a server that has said that it leaves, before and whatever its entry
// in the store says.
TEST_CASE("a server that says in an answer that it leaves gets no further request")
{
  DispatcherFixture fixture;
  FakeServer& leaving = fixture.addPlainServer(served(leavingLine()));
  std::vector<dispatch::ServerIncarnation> reported;
  fixture.dispatcher().setLeavingListener(
    [&reported](const dispatch::ServerIncarnation& server) { reported.push_back(server); });
  fixture.publish();
  CHECK(sendRequests(fixture, 10) == 1);
  FakeServer& staying = fixture.addPlainServer(served());
  fixture.publish();
  CHECK(sendRequests(fixture, 30) == 30);
  CHECK(leaving.requests().size() == 1);
  CHECK(staying.requests().size() == 30);
  CHECK(reported.size() == 1);
  CHECK(fixture.dispatcher().counts().serversLeaving == 1);
}

TEST_CASE("requests on keys of a server that leaves are refused at once")
{
  DispatcherFixture fixture;
  FakeServer& owner = fixture.addKeyedServer(served(leavingLine()));
  fixture.publish();
  CHECK(fixture.sendAndAwait("GET", "/keyed/x")->status == 200);
  const auto refused = fixture.sendAndAwait("GET", "/keyed/x");
  CHECK(refused->status == 503);
  CHECK(!headerOf(*refused, "Retry-After").empty());
  CHECK(owner.requests().size() == 1);
}

TEST_CASE("a refusal says that a server leaves, an answer that may be another server's doesn't")
{
  DispatcherFixture fixture;
  FakeServer& refusing = fixture.addPlainServer(full(leavingLine()));
  fixture.publish();
  CHECK(sendRequests(fixture, 5) == 0);
  CHECK(refusing.requests().size() == 1);
  CHECK(fixture.dispatcher().counts().serversLeaving == 1);

  DispatcherFixture other;
  other.addKeyedServer([](const std::string& request) {
    return FakeServer::Reaction{ misdirectedAnswer(requestIdOf(request), leavingLine()) };
  });
  other.publish();
  CHECK(other.sendAndAwait("GET", "/keyed/x")->status == 503);
  CHECK(other.dispatcher().counts().serversLeaving == 0);
}

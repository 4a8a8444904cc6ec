#include <entry/RoutingViewPublisher.h>
#include <entry/SteadyTime.h>

#include <StoreTexts.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;

namespace {

struct Fixture
{
  EventLog log{ "vm" };
  std::vector<std::shared_ptr<const dispatch::RoutingView>> published;
  RoutingViewPublisher publisher{ log, [this](std::shared_ptr<const dispatch::RoutingView> view) {
                                   published.push_back(std::move(view));
                                 } };
};

ObjectMirror::Objects configurationOf(const std::string& spec)
{
  const std::string name = wire::kConfigurationName;
  return { { name, { name, 3, false, R"({"spec":)" + spec + "}" } } };
}

ObjectMirror::Objects configurationOf(unsigned version)
{
  return configurationOf(R"({"routes":{},"services":{},"tenants":{},"version":)" +
                         std::to_string(version) + "}");
}

ObjectMirror::Objects serverOf(unsigned born, std::uint64_t revision)
{
  return { { "s0",
             { "s0",
               revision,
               false,
               R"({"metadata":{"name":"s0"},"spec":)" +
                 serverContent("127.0.0.1:80", born, "layout", "a") + R"(,"status":)" +
                 readyServerStatus() + "}" } } };
}

} // namespace

// Guards against keys that count as checked by a configuration that isn't in force.
TEST_CASE("an older or unreadable configuration isn't adopted and doesn't make the view current")
{
  Fixture fixture;
  const base::TimePoint now = clockNow();
  REQUIRE(fixture.publisher.setConfiguration(configurationOf(5)));
  REQUIRE(fixture.publisher.requiresKeys());
  fixture.publisher.onConfigurationCurrent(now);
  REQUIRE(fixture.published.size() == 2);
  CHECK(fixture.published.back()->configurationCurrentAt == now);
  for (const ObjectMirror::Objects& objects : { configurationOf(4), configurationOf("{}") }) {
    CHECK_FALSE(fixture.publisher.setConfiguration(objects));
    fixture.publisher.onConfigurationCurrent(now + base::milliseconds(100));
  }
  CHECK(fixture.published.size() == 2);
  CHECK(fixture.publisher.view().configuration->version == 5);
  CHECK(fixture.publisher.setConfiguration(configurationOf(6)));
  fixture.publisher.onConfigurationCurrent(now + base::milliseconds(100));
  CHECK(fixture.published.back()->configurationCurrentAt == now + base::milliseconds(100));
}

// Guards against a server that leaves but gets requests again when its entry changes.
TEST_CASE("a server that leaves stays marked until its next life")
{
  Fixture fixture;
  const base::ServerId id("s0");
  const base::TimePoint now = clockNow();
  fixture.publisher.setServers(serverOf(7, 3), now);
  fixture.publisher.onServersLeaving({ { id, 7 } });
  REQUIRE(fixture.published.size() == 2);
  CHECK(fixture.published.back()->servers->at(id).draining);
  fixture.publisher.onServersLeaving({ { id, 7 } });
  CHECK(fixture.published.size() == 2);
  fixture.publisher.setServers(serverOf(7, 4), now);
  CHECK(fixture.published.back()->servers->at(id).draining);
  CHECK(fixture.publisher.endedServers(now) ==
        std::vector<dispatch::ServerIncarnation>{ { id, 7 } });
  fixture.publisher.setServers(serverOf(8, 5), now);
  CHECK_FALSE(fixture.published.back()->servers->at(id).draining);
  CHECK(fixture.publisher.endedServers(now) ==
        std::vector<dispatch::ServerIncarnation>{ { id, 7 } });
}

// Guards against views that are sent to the traffic thread without need.
TEST_CASE("only a change is published")
{
  Fixture fixture;
  fixture.publisher.setEntryVms(0, false);
  fixture.publisher.setEntryVms(1, false);
  fixture.publisher.setDomainsOut({});
  CHECK(fixture.published.empty());
  fixture.publisher.setEntryVms(2, false);
  fixture.publisher.setDomainsOut({ { "a", {} } });
  fixture.publisher.setDomainsOut({ { "a", {} } });
  CHECK(fixture.published.size() == 2);
}

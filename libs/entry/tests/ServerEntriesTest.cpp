#include <entry/ServerEntries.h>
#include <entry/SteadyTime.h>

#include <StoreTexts.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;

namespace {

wire::StoreObject entryOf(const std::string& name, std::uint64_t revision)
{
  return { name,
           revision,
           false,
           R"({"metadata":{"name":")" + name + R"("},"spec":)" +
             serverContent("127.0.0.1:80", 7, "layout", "a") + R"(,"status":)" +
             readyServerStatus() + "}" };
}

} // namespace

// Guards against a server that is used again because its unchanged entry is decoded anew.
TEST_CASE("an unchanged entry keeps what has been learned of its server, a changed one doesn't")
{
  EventLog log("vm");
  ServerEntries entries(log);
  const base::ServerId id("s0");
  const base::TimePoint now = clockNow();
  const auto known = entries.decode({ { "s0", entryOf("s0", 3) } }, nullptr, now);
  REQUIRE(known->contains(id));
  CHECK_FALSE(known->at(id).draining);
  known->at(id).draining = true;
  CHECK(entries.decode({ { "s0", entryOf("s0", 3) } }, known.get(), now)->at(id).draining);
  CHECK_FALSE(entries.decode({ { "s0", entryOf("s0", 4) } }, known.get(), now)->at(id).draining);
}

// Guards against one unreadable entry that hides the others.
TEST_CASE("an unreadable entry names no server, and one that is being deleted drains")
{
  EventLog log("vm");
  ServerEntries entries(log);
  wire::StoreObject deleted = entryOf("s1", 3);
  deleted.deleting = true;
  const auto servers =
    entries.decode({ { "s0", { "s0", 3, false, "{}" } }, { "s1", deleted } }, nullptr, clockNow());
  CHECK(servers->size() == 1);
  CHECK(servers->at(base::ServerId("s1")).draining);
}

#include <doctest/doctest.h>
#include <membership/MemberTable.h>

using namespace sycamore::base;
using namespace sycamore::membership;

namespace {

ListedVm entryVm(const std::string& id, const std::string& domain, ListedState state = {})
{
  return { id, Role::Entry, "127.0.0.1:1", "127.0.0.1:2", DomainId(domain), ServiceId(), state };
}

ListedVm backend(const std::string& id, const std::string& domain)
{
  return { id, Role::Backend, "127.0.0.1:3", "", DomainId(domain), ServiceId("layout"), {} };
}

struct Fixture
{
  void receiveHeartbeat(const std::string& id, bool leaving = false)
  {
    table.onHeartbeat(VmId(id), "127.0.0.1:2", DomainId("a"), Incarnation(1), leaving, clock.now());
  }

  ManualClock clock;
  MemberTable table{ VmId("a1"), DomainId("a"), {} };
};

} // namespace

// Guards against relying on the lagging list, which still contains a VM that is lost.
TEST_CASE("a listed VM is lost after the timeout without a heartbeat")
{
  Fixture f;
  f.table.updateFromList({ entryVm("a1", "a"), entryVm("a2", "a") }, f.clock.now());
  f.receiveHeartbeat("a2");
  f.clock.advance(milliseconds(1000));
  CHECK(f.table.isAlive(VmId("a2"), f.clock.now()));
  f.clock.advance(milliseconds(100));
  CHECK_FALSE(f.table.isAlive(VmId("a2"), f.clock.now()));
  f.table.updateFromList({ entryVm("a1", "a"), entryVm("a2", "a") }, f.clock.now());
  CHECK_FALSE(f.table.isAlive(VmId("a2"), f.clock.now()));
}

// Guards against ignoring a replacement VM until the lagging list contains it.
TEST_CASE("a VM that sends heartbeats but isn't listed is alive")
{
  Fixture f;
  f.table.updateFromList({ entryVm("a1", "a") }, f.clock.now());
  f.receiveHeartbeat("a9");
  f.table.updateFromList({ entryVm("a1", "a") }, f.clock.now());
  CHECK(f.table.isAlive(VmId("a9"), f.clock.now()));
}

// Guards against two relays, or none, in a failure domain after the relay is lost.
TEST_CASE("the relay is the live VM of the domain with the lowest id")
{
  Fixture f;
  f.table.updateFromList({ entryVm("a0", "a"), entryVm("a1", "a"), entryVm("b0", "b") },
                         f.clock.now());
  CHECK_FALSE(f.table.isRelay(f.clock.now()));
  f.clock.advance(std::chrono::seconds(4));
  CHECK(f.table.isRelay(f.clock.now()));
}

// Guards against assigning new duties to a VM that is shutting down.
TEST_CASE("a leaving VM is alive but takes no new duties")
{
  Fixture f;
  f.receiveHeartbeat("a0", true);
  CHECK(f.table.isAlive(VmId("a0"), f.clock.now()));
  CHECK(f.table.liveEntryVms(f.clock.now()) == std::vector<VmId>{ VmId("a1") });
  CHECK(f.table.liveEntryVms(f.clock.now(), true).size() == 2);
}

// Guards against counting a VM as gone during a network partition. A forced change of voters is
// allowed only if the VM sends no heartbeats and has been missing from the list for the whole time.
TEST_CASE(
  "a VM is gone only when it is unresponsive and has been missing from the list for the given time")
{
  Fixture f;
  f.table.updateFromList({ entryVm("a2", "a") }, f.clock.now());
  f.receiveHeartbeat("a2");
  f.clock.advance(std::chrono::seconds(60));
  const Duration bound = std::chrono::seconds(30);
  CHECK_FALSE(f.table.isGone(VmId("a2"), bound, f.clock.now()));
  f.table.updateFromList({}, f.clock.now());
  CHECK_FALSE(f.table.isGone(VmId("a2"), bound, f.clock.now()));
  f.clock.advance(std::chrono::seconds(31));
  CHECK(f.table.isGone(VmId("a2"), bound, f.clock.now()));
}

// Guards against a newly started VM that counts every VM it doesn't know as gone.
TEST_CASE("an unknown VM is not gone until a list has been known for the given time")
{
  Fixture f;
  const Duration bound = std::chrono::seconds(30);
  CHECK_FALSE(f.table.isGone(VmId("z9"), bound, f.clock.now()));
  f.table.updateFromList({}, f.clock.now());
  CHECK_FALSE(f.table.isGone(VmId("z9"), bound, f.clock.now()));
  f.clock.advance(std::chrono::seconds(30));
  CHECK(f.table.isGone(VmId("z9"), bound, f.clock.now()));
}

// Guards against dispatch to a server that the platform removed.
TEST_CASE("a backend server missing from a new list is gone")
{
  Fixture f;
  f.table.updateFromList({ backend("s1", "a"), backend("s2", "a") }, f.clock.now());
  CHECK(f.table.servers().size() == 2);
  f.table.updateFromList({ backend("s2", "a") }, f.clock.now());
  CHECK(f.table.servers().size() == 1);
}

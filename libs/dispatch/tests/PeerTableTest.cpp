#include <dispatch/PeerTable.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::seconds;

namespace {

const base::VmId kVm{ "b" };

EntryVmRecord recordOf(double capacity)
{
  return { "10.0.0.2", base::DomainId("x"), capacity };
}

} // namespace

// Guards against more than the allowed rate at a cold server: a VM that is only cut off from the
// others still sends its share.
TEST_CASE("a silent VM shares limits for a minute, but is a successor for 4 s only")
{
  base::ManualClock clock;
  PeerTable table({});
  CHECK(table.vmsSharingLimits(clock.now()) == 1);
  table.onReport(kVm, recordOf(1), false, clock.now());
  clock.advance(seconds(3));
  CHECK(table.successors(clock.now()).size() == 1);
  clock.advance(seconds(1));
  CHECK(table.successors(clock.now()).empty());
  CHECK(table.vmsSharingLimits(clock.now()) == 2);
  clock.advance(seconds(56));
  CHECK(table.vmsSharingLimits(clock.now()) == 1);
}

// Guards against more than the allowed rate at a cold server: all VMs divide by the number that the
// coordinator announces.
TEST_CASE("a new coordinator counts no fewer VMs than the one before it until they have reported")
{
  base::ManualClock clock;
  PeerTable table({});
  table.onRegistered(kVm, recordOf(1), clock.now());
  clock.advance(seconds(61));
  table.onSharersAnnounced(10, clock.now());
  clock.advance(seconds(59));
  CHECK(table.vmsSharingLimits(clock.now()) == 10);
  table.onReport(kVm, recordOf(1), false, clock.now());
  clock.advance(seconds(1));
  CHECK(table.vmsSharingLimits(clock.now()) == 2);
}

TEST_CASE("a VM that reports that it leaves is no successor")
{
  base::ManualClock clock;
  clock.advance(seconds(100));
  PeerTable table({});
  table.onReport(kVm, recordOf(1), false, clock.now());
  table.onReport(kVm, recordOf(1), true, clock.now());
  CHECK(table.successors(clock.now()).empty());
  CHECK(table.receivers().size() == 1);
}

// Guards against a VM that counts as heard from because the store still lists it.
TEST_CASE("a registration doesn't replace what a VM's reports have shown")
{
  base::ManualClock clock;
  PeerTable table({});
  table.onReport(kVm, recordOf(2), false, clock.now());
  clock.advance(seconds(5));
  table.onRegistered(kVm, recordOf(1), clock.now());
  CHECK(table.successors(clock.now()).empty());
  CHECK(table.peers().at(kVm).capacity == 2);
  CHECK(table.isInDomain(kVm, base::DomainId("x")));
  CHECK_FALSE(table.isInDomain(base::VmId("c"), base::DomainId("x")));
}

// Guards against a domain whose load is sent to a VM that has failed.
TEST_CASE("the responding VM with the most capacity aggregates the load of its domain")
{
  base::ManualClock clock;
  PeerTable table({});
  const base::DomainId domain("x");
  const base::DomainId silent("y");
  table.onReport(base::VmId("a"), { "10.0.0.1", domain, 1 }, false, clock.now());
  table.onReport(base::VmId("b"), { "10.0.0.2", domain, 2 }, false, clock.now());
  table.onReport(base::VmId("c"), { "10.0.0.3", silent, 2 }, false, clock.now());
  CHECK(table.loadAggregators(clock.now()).at(domain) == "10.0.0.2");
  clock.advance(std::chrono::milliseconds(1200));
  table.onReport(base::VmId("a"), { "10.0.0.1", domain, 1 }, false, clock.now());
  CHECK(table.loadAggregators(clock.now()).at(domain) == "10.0.0.1");
  CHECK_FALSE(table.loadAggregators(clock.now()).contains(silent));
}

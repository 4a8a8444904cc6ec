#include <entry/CoordinatorHandover.h>
#include <entry/SteadyTime.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::entry;

namespace {

const std::vector<dispatch::Candidate> kLargerVm = { { base::VmId("large"), 8 } };

} // namespace

// Guards against a handover to a VM that isn't the best one, because others haven't reported yet.
TEST_CASE("a new coordinator waits for reports before it hands over")
{
  EventLog log("vm");
  CoordinatorHandover handover(log, 1);
  const base::TimePoint now = clockNow();
  CHECK(handover.onEpoch(3, now));
  CHECK_FALSE(handover.onEpoch(3, now + base::milliseconds(100)));
  CHECK(handover.epochBeganAt() == now);
  handover.beginIfWorthwhile(kLargerVm, now + base::milliseconds(999));
  CHECK_FALSE(handover.isHandingOver());
  handover.beginIfWorthwhile({}, now + base::milliseconds(1000));
  CHECK_FALSE(handover.isHandingOver());
  handover.beginIfWorthwhile(kLargerVm, now + base::milliseconds(1000));
  CHECK(handover.isHandingOver());
}

// Guards against a role that is passed on in circles among VMs that can't reach the store.
TEST_CASE("a process asks for a handover in one epoch only")
{
  EventLog log("vm");
  CoordinatorHandover handover(log, 1);
  const base::TimePoint now = clockNow();
  handover.onEpoch(3, now);
  handover.beginIfWorthwhile(kLargerVm, now + base::milliseconds(1000));
  REQUIRE(handover.isHandingOver());
  handover.onEpoch(5, now + base::milliseconds(2000));
  CHECK_FALSE(handover.isHandingOver());
  handover.beginIfWorthwhile(kLargerVm, now + base::milliseconds(9000));
  CHECK_FALSE(handover.isHandingOver());
}

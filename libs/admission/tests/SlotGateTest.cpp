#include <admission/SlotGate.h>
#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::admission;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{ 1000s };

} // namespace

// Guards against a slot that is given away while its abandoned request may still run.
TEST_CASE("an abandoned attempt holds its slot until its end is certain")
{
  SlotGate gate(2);
  CHECK(gate.tryAcquire(WorkId(1)));
  CHECK(gate.tryAcquire(WorkId(2)));
  gate.abandon(WorkId(1), kStart + 2s);
  gate.abandon(WorkId(1), kStart + 1s);
  CHECK_FALSE(gate.tryAcquire(WorkId(3)));
  CHECK(gate.releaseEnded(kStart + 1s).empty());
  CHECK(gate.nextRelease() == kStart + 2s);
  CHECK(gate.releaseEnded(kStart + 2s).size() == 1);
  CHECK(gate.tryAcquire(WorkId(3)));
  gate.abandon(WorkId(2), kStart + 9s);
  gate.release(WorkId(2));
  CHECK_FALSE(gate.nextRelease().has_value());
  gate.release(WorkId(2));
  CHECK(gate.held() == 1);
}

// Guards against one request that takes two slots, and against slots beyond a lowered number.
TEST_CASE("an id takes one slot and a lowered number of slots is kept")
{
  SlotGate gate(2);
  CHECK(gate.tryAcquire(WorkId(1)));
  CHECK_FALSE(gate.tryAcquire(WorkId(1)));
  CHECK(gate.tryAcquire(WorkId(2)));
  gate.setSlots(1);
  gate.release(WorkId(1));
  CHECK_FALSE(gate.tryAcquire(WorkId(3)));
}

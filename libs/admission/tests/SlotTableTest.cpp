#include <admission/SlotTable.h>
#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::admission;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{ 1000s };

} // namespace

// Guards against reusing a slot while its abandoned request may still run.
TEST_CASE("an abandoned attempt holds its slot until its end is certain")
{
  SlotTable table(2);
  CHECK(table.tryAcquire(WorkId(1)));
  CHECK(table.tryAcquire(WorkId(2)));
  table.abandon(WorkId(1), kStart + 2s);
  table.abandon(WorkId(1), kStart + 1s);
  CHECK_FALSE(table.tryAcquire(WorkId(3)));
  CHECK(table.releaseExpired(kStart + 1s).empty());
  CHECK(table.nextReleaseAt() == kStart + 2s);
  CHECK(table.releaseExpired(kStart + 2s).size() == 1);
  CHECK(table.tryAcquire(WorkId(3)));
  table.abandon(WorkId(2), kStart + 9s);
  table.release(WorkId(2));
  CHECK_FALSE(table.nextReleaseAt().has_value());
  table.release(WorkId(2));
  CHECK(table.heldCount() == 1);
}

// Guards against one request that takes two slots, and against exceeding a lowered number of slots.
TEST_CASE("an id takes one slot and a lowered number of slots is respected")
{
  SlotTable table(2);
  CHECK(table.tryAcquire(WorkId(1)));
  CHECK_FALSE(table.tryAcquire(WorkId(1)));
  CHECK(table.tryAcquire(WorkId(2)));
  table.setSlots(1);
  table.release(WorkId(1));
  CHECK_FALSE(table.tryAcquire(WorkId(3)));
}

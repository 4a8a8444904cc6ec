#include <dispatch/OwnershipCopy.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

namespace {

const base::ServiceId kService{ "layout" };

KeyRange range(KeyNumber from, KeyNumber to, const char* owner, std::uint64_t fence)
{
  return { from, to, base::ServerId(owner), 1, fence };
}

OwnershipRecord wholeRecord()
{
  OwnershipRecord record;
  record.epoch = 1;
  record.services[kService] = { range(0, 999, "a", 1), range(1000, kLastKey, "b", 1) };
  return record;
}

base::ServerId ownerOf(const OwnershipCopy& copy, KeyNumber key)
{
  return findRange(copy.record()->services.at(kService), key)->owner;
}

} // namespace

// Guards against a read of the whole record by every entry VM at each change of the coordinator.
TEST_CASE("a delta tells the next coordinator")
{
  base::ManualClock clock;
  OwnershipCopy copy({}, clock.now());
  copy.onRecordRead(wholeRecord(), 10);
  const Coordinator next{ base::VmId("vm-2"), 7, "10.0.0.2" };
  CHECK(copy.applyDelta({ 10, 12, {}, next, 2 }, clock.now()));
  CHECK(copy.record()->coordinator == next);
  CHECK(copy.record()->epoch == 2);
  CHECK(ownerOf(copy, 500).value() == "a");
}

TEST_CASE("a delta that follows on the copy changes just its keys")
{
  base::ManualClock clock;
  OwnershipCopy copy({}, clock.now());
  copy.onRecordRead(wholeRecord(), 10);
  CHECK(copy.applyDelta({ 10, 12, { { kService, { range(500, 1500, "c", 3) } } }, {}, 1 },
                        clock.now()));
  CHECK(ownerOf(copy, 499).value() == "a");
  CHECK(ownerOf(copy, 500).value() == "c");
  CHECK(ownerOf(copy, 1500).value() == "c");
  CHECK(ownerOf(copy, 1501).value() == "b");
  CHECK(ownerOf(copy, kLastKey).value() == "b");
  CHECK(copy.revision() == 12);
}

// Guards against routing by an old record for long after a datagram was lost.
TEST_CASE("after a lost delta the record is read")
{
  base::ManualClock clock;
  OwnershipCopy copy({}, clock.now());
  copy.onRecordRead(wholeRecord(), 10);
  clock.advance(milliseconds(600));
  CHECK_FALSE(copy.applyDelta({ 12, 14, {}, {}, 1 }, clock.now()));
  CHECK_FALSE(copy.beginReadIfDue(clock.now()));
  clock.advance(milliseconds(150));
  CHECK(copy.beginReadIfDue(clock.now()));
  CHECK_FALSE(copy.beginReadIfDue(clock.now()));
  copy.onRecordRead(wholeRecord(), 14);
  clock.advance(milliseconds(600));
  CHECK_FALSE(copy.beginReadIfDue(clock.now()));
}

TEST_CASE("the store is asked now and then while the coordinator is silent")
{
  base::ManualClock clock;
  OwnershipCopy copy({}, clock.now());
  copy.onRecordRead(wholeRecord(), 10);
  unsigned reads = 0;
  for (int i = 0; i < 100; ++i) {
    clock.advance(milliseconds(100));
    reads += copy.beginReadIfDue(clock.now()) ? 1 : 0;
  }
  CHECK(reads >= 4);
  CHECK(reads <= 6);
}

TEST_CASE("no reads while the coordinator tells the revision that the copy has")
{
  base::ManualClock clock;
  OwnershipCopy copy({}, clock.now());
  copy.onRecordRead(wholeRecord(), 10);
  for (int i = 0; i < 100; ++i) {
    clock.advance(milliseconds(200));
    copy.onRevisionAnnounced(10, clock.now());
    CHECK_FALSE(copy.beginReadIfDue(clock.now()));
  }
}

TEST_CASE("a record that isn't newer changes nothing")
{
  base::ManualClock clock;
  OwnershipCopy copy({}, clock.now());
  CHECK(copy.onRecordRead(wholeRecord(), 10));
  CHECK_FALSE(copy.onRecordRead(wholeRecord(), 10));
}

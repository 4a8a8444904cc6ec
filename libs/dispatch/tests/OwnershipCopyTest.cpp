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

OwnershipRecord completeRecord()
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

// Guards against every entry VM reading the complete record at each change of the coordinator.
TEST_CASE("a delta updates the coordinator and its epoch")
{
  base::ManualClock clock;
  OwnershipCopy copy({}, clock.now());
  copy.onRecordRead(completeRecord(), 10);
  const Coordinator next{ base::VmId("vm-2"), 7, "10.0.0.2" };
  CHECK(copy.applyDelta({ 10, 12, {}, next, 2 }, clock.now()));
  CHECK(copy.record()->coordinator == next);
  CHECK(copy.record()->epoch == 2);
  CHECK(ownerOf(copy, 500).value() == "a");
}

TEST_CASE("a delta based on the copy's revision changes only its keys")
{
  base::ManualClock clock;
  OwnershipCopy copy({}, clock.now());
  copy.onRecordRead(completeRecord(), 10);
  CHECK(copy.applyDelta({ 10, 12, { { kService, { range(500, 1500, "c", 3) } } }, {}, 1 },
                        clock.now()));
  CHECK(ownerOf(copy, 499).value() == "a");
  CHECK(ownerOf(copy, 500).value() == "c");
  CHECK(ownerOf(copy, 1500).value() == "c");
  CHECK(ownerOf(copy, 1501).value() == "b");
  CHECK(ownerOf(copy, kLastKey).value() == "b");
  CHECK(copy.revision() == 12);
}

// Guards against routing by an outdated record for a long time after the loss of a datagram.
TEST_CASE("the record is read after a lost delta")
{
  base::ManualClock clock;
  OwnershipCopy copy({}, clock.now());
  copy.onRecordRead(completeRecord(), 10);
  clock.advance(milliseconds(600));
  CHECK_FALSE(copy.applyDelta({ 12, 14, {}, {}, 1 }, clock.now()));
  CHECK_FALSE(copy.beginReadIfDue(clock.now()));
  clock.advance(milliseconds(150));
  CHECK(copy.beginReadIfDue(clock.now()));
  CHECK_FALSE(copy.beginReadIfDue(clock.now()));
  copy.onRecordRead(completeRecord(), 14);
  clock.advance(milliseconds(600));
  CHECK_FALSE(copy.beginReadIfDue(clock.now()));
}

TEST_CASE("the record is read periodically while the coordinator is unresponsive")
{
  base::ManualClock clock;
  OwnershipCopy copy({}, clock.now());
  copy.onRecordRead(completeRecord(), 10);
  unsigned reads = 0;
  for (int i = 0; i < 100; ++i) {
    clock.advance(milliseconds(100));
    reads += copy.beginReadIfDue(clock.now()) ? 1 : 0;
  }
  CHECK(reads >= 4);
  CHECK(reads <= 6);
}

TEST_CASE("the record isn't read while the coordinator announces the revision of the copy")
{
  base::ManualClock clock;
  OwnershipCopy copy({}, clock.now());
  copy.onRecordRead(completeRecord(), 10);
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
  CHECK(copy.onRecordRead(completeRecord(), 10));
  CHECK_FALSE(copy.onRecordRead(completeRecord(), 10));
}

// Guards against a large change, such as the initial partition, that is lost with its datagram, and
// against a copy with only a part of a change.
TEST_CASE("a delta in parts is applied once all parts have arrived, in any order and repeated")
{
  base::ManualClock clock;
  OwnershipDelta delta;
  delta.previous = 3;
  delta.revision = 4;
  const base::ServiceId service("s");
  for (KeyNumber i = 0; i < 10; ++i) {
    delta.changes[service].push_back({ i, i, base::ServerId("owner-" + std::to_string(i)), 1, 7 });
  }
  const std::vector<OwnershipDelta> parts = splitDelta(delta, 4);
  REQUIRE(parts.size() == 3);
  OwnershipCopy copy({}, clock.now());
  copy.onRecordRead({}, 3);
  CHECK_FALSE(copy.applyDelta(parts[2], clock.now()));
  CHECK_FALSE(copy.applyDelta(parts[0], clock.now()));
  CHECK_FALSE(copy.applyDelta(parts[0], clock.now()));
  CHECK(copy.record()->services.empty());
  CHECK(copy.isBehind());
  CHECK(copy.applyDelta(parts[1], clock.now()));
  CHECK(copy.record()->services.at(service) == delta.changes.at(service));
  CHECK(copy.revision() == 4);
  CHECK_FALSE(copy.applyDelta(parts[1], clock.now()));
}

TEST_CASE("a delta without ranges, such as a change of the coordinator, is one part")
{
  CHECK(splitDelta({}, 4).size() == 1);
}

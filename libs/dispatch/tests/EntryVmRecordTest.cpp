#include <dispatch/EntryVmRecord.h>

#include <doctest/doctest.h>

#include <stdexcept>

using namespace sycamore;
using namespace sycamore::dispatch;

TEST_CASE("a record of an entry VM survives a round trip, and malformed ones are refused")
{
  const EntryVmRecord record{ "10.1.0.34", base::DomainId("a"), 0.2 };
  CHECK(readEntryVmRecord(writeEntryVmRecord(record)) == record);
  CHECK_THROWS_AS(readEntryVmRecord("10.1.0.34"), std::invalid_argument);
  CHECK_THROWS_AS(readEntryVmRecord(R"({"address":"10.1.0.34","domain":"a"})"),
                  std::invalid_argument);
}

// Guards against a coordinator on a VM whose share of a core is too small for the grants of all
// servers, and against VMs that disagree on the order of candidates with equal capacity.
TEST_CASE("VMs succeed in order of processor capacity, then of name")
{
  std::vector<Candidate> candidates{ { base::VmId("c"), 0.1 },
                                     { base::VmId("b"), 0.5 },
                                     { base::VmId("a"), 0.1 },
                                     { base::VmId("d"), 0.5 } };
  sortBySuccession(candidates);
  CHECK(candidates[0].vm.value() == "b");
  CHECK(candidates[1].vm.value() == "d");
  CHECK(candidates[2].vm.value() == "a");
  CHECK(candidates[3].vm.value() == "c");
}

TEST_CASE("a coordinator hands over only to a VM with much more processor capacity")
{
  CHECK(isWorthHandover(0.1, { base::VmId("a"), 0.5 }));
  CHECK_FALSE(isWorthHandover(0.4, { base::VmId("a"), 0.5 }));
  CHECK_FALSE(isWorthHandover(0.2, { base::VmId("a"), 0.2 }));
}

#include "PlacementFixture.h"

#include <placement/PlannerElection.h>
#include <placement/VoterChoice.h>

#include <doctest/doctest.h>

#include <set>

using namespace sycamore::placement;
using sycamore::base::DomainId;
using sycamore::base::ServerId;
using sycamore::base::VmId;
using testing::PlacementFixture;

namespace {

const ServerId kServer("layout-1");
const DomainId kHome("a");

std::vector<DomainId> domainsOf(const std::vector<VmId>& voters, const std::vector<EntryVm>& vms)
{
  std::vector<DomainId> domains;
  for (const VmId& voter : voters) {
    domains.push_back(std::ranges::find(vms, voter, &EntryVm::id)->domain);
  }
  return domains;
}

void stop(std::vector<EntryVm>& vms, const VmId& vm)
{
  std::ranges::find(vms, vm, &EntryVm::id)->isLive = false;
}

} // namespace

// Guards against a server that can't be served inside its own domain while the domain is cut off.
TEST_CASE("hold mode keeps a majority of the voters in the server's domain")
{
  auto vms = PlacementFixture::vms();
  const auto three = chooseVoters(kServer, kHome, VoterMode::Hold, {}, vms);
  CHECK(domainsOf(three, vms) == std::vector(3, kHome));
  stop(vms, three[1]);
  const auto two = chooseVoters(kServer, kHome, VoterMode::Hold, three, vms);
  CHECK(two.size() == 3);
  CHECK(std::ranges::count(domainsOf(two, vms), kHome) == 2);
  CHECK(two[0] == three[0]);
  CHECK(two[1] == three[2]);
}

// Guards against losing all voters of a server with one domain in move mode.
TEST_CASE("move mode has voters in three domains, the server's first")
{
  auto vms = PlacementFixture::vms();
  const auto voters = chooseVoters(kServer, kHome, VoterMode::Move, {}, vms);
  const auto domains = domainsOf(voters, vms);
  CHECK(domains[0] == kHome);
  CHECK(std::set(domains.begin(), domains.end()).size() == 3);
  stop(vms, voters[0]);
  const auto next = chooseVoters(kServer, kHome, VoterMode::Move, voters, vms);
  CHECK(domainsOf(next, vms)[0] == kHome);
  CHECK(next[1] == voters[1]);
  CHECK(next[2] == voters[2]);
}

// Guards against needless changes of voters, each of which costs a map write and two rounds of
// votes.
TEST_CASE("voters stay while they are live, even if other entry VMs join")
{
  for (const VoterMode mode : { VoterMode::Hold, VoterMode::Move }) {
    auto vms = PlacementFixture::vms();
    const auto voters = chooseVoters(kServer, kHome, mode, {}, vms);
    for (std::uint32_t i = 20; i < 60; ++i) {
      vms.push_back({ VmId("vm-" + std::to_string(i)), PlacementFixture::domainName(i) });
      CHECK(chooseVoters(kServer, kHome, mode, voters, vms) == voters);
    }
  }
}

// Guards against losing the majority rule while entry VMs are missing temporarily.
TEST_CASE("a voter that is not live stays if no live entry VM can replace it")
{
  std::vector<EntryVm> vms{ { VmId("a1"), kHome }, { VmId("a2"), kHome }, { VmId("a3"), kHome } };
  const auto voters = chooseVoters(kServer, kHome, VoterMode::Hold, {}, vms);
  stop(vms, voters[0]);
  CHECK(chooseVoters(kServer, kHome, VoterMode::Hold, voters, vms) == voters);
}

// Guards against every VM planning for a service after one VM is lost, and against services
// changing planners needlessly.
TEST_CASE("only the services of a lost planner get a new planner")
{
  auto vms = PlacementFixture::vms();
  int moved = 0;
  for (int i = 0; i < 90; ++i) {
    const sycamore::base::ServiceId service("s" + std::to_string(i));
    vms[4].isLive = true;
    const auto before = electPlanner(service, vms);
    vms[4].isLive = false;
    const auto after = electPlanner(service, vms);
    CHECK((before == after) == (before != vms[4].id));
    moved += before != after;
  }
  CHECK(moved > 0);
  CHECK(!electPlanner(sycamore::base::ServiceId("s"), {}));
}

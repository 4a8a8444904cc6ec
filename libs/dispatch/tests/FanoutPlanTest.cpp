#include <dispatch/FanoutPlan.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

namespace {

const base::DomainId kOwn{ "a" };

// Returns peers a0, a1, ... in domain "a", b0, ... in "b" and so on, all heard from at `now`.
std::vector<FanoutPeer> peersIn(const std::string& domains, unsigned perDomain, base::TimePoint now)
{
  std::vector<FanoutPeer> peers;
  for (const char domain : domains) {
    for (unsigned i = 0; i < perDomain; ++i) {
      const std::string name = domain + std::to_string(i);
      peers.push_back(
        { base::VmId(name), "ip-" + name, base::DomainId(std::string(1, domain)), 1, now });
    }
  }
  return peers;
}

std::size_t crossings(const FanoutPlan& plan)
{
  std::size_t count = plan.otherDomains.size();
  for (const DomainFanout& fanout : plan.forwarded) {
    count += fanout.forwarders.size();
  }
  return count;
}

// Returns the number of ways by which a VM gets a change while the VMs in `failed` forward nothing.
std::size_t waysTo(const FanoutPlan& plan,
                   const std::string& address,
                   const std::vector<std::string>& failed)
{
  auto ways = static_cast<std::size_t>(std::ranges::count(plan.sameDomain, address) +
                                       std::ranges::count(plan.otherDomains, address));
  for (const DomainFanout& fanout : plan.forwarded) {
    if (std::ranges::count(fanout.receivers, address) == 0) {
      continue;
    }
    ways += static_cast<std::size_t>(std::ranges::count_if(
      fanout.forwarders, [&](const auto& ip) { return std::ranges::count(failed, ip) == 0; }));
  }
  return ways;
}

} // namespace

// Guards against traffic between domains that grows with the number of VMs.
TEST_CASE("a change crosses to each other domain twice, however many VMs there are")
{
  base::ManualClock clock;
  for (const unsigned perDomain : { 10U, 40U, 60U }) {
    const auto peers = peersIn("abcde", perDomain, clock.now());
    CHECK(crossings(planFanout(peers, kOwn, {}, clock.now())) == 8);
  }
}

// Guards against a domain that misses changes because the VM that forwards them has failed.
TEST_CASE("the loss of any one VM cuts no other VM off from a change")
{
  base::ManualClock clock;
  const auto peers = peersIn("abc", 6, clock.now());
  const FanoutPlan plan = planFanout(peers, kOwn, {}, clock.now());
  for (const FanoutPeer& failed : peers) {
    for (const FanoutPeer& peer : peers) {
      if (peer.vm != failed.vm) {
        CHECK(waysTo(plan, peer.address, { failed.address }) >= 1);
      }
    }
  }
}

TEST_CASE(
  "unresponsive VMs don't forward but still receive, also if no VM of their domain responds")
{
  base::ManualClock clock;
  auto peers = peersIn("ab", 6, clock.now());
  clock.advance(milliseconds(1200));
  for (const std::size_t responding : { 0U, 1U, 2U, 4U }) {
    for (std::size_t i = 0; i < responding; ++i) {
      peers[6 + i].lastHeardAt = clock.now();
    }
    const FanoutPlan plan = planFanout(peers, kOwn, {}, clock.now());
    for (const FanoutPeer& peer : peers) {
      CHECK(waysTo(plan, peer.address, {}) >= 1);
    }
    for (const DomainFanout& fanout : plan.forwarded) {
      for (const std::string& forwarder : fanout.forwarders) {
        CHECK(forwarder < "ip-b" + std::to_string(responding));
      }
    }
  }
}

TEST_CASE("the VMs with the most processor capacity forward")
{
  base::ManualClock clock;
  auto peers = peersIn("ab", 6, clock.now());
  peers[8].capacity = 4;
  peers[11].capacity = 2;
  const FanoutPlan plan = planFanout(peers, kOwn, {}, clock.now());
  REQUIRE(plan.forwarded.size() == 1);
  CHECK(plan.forwarded.front().forwarders == std::vector<std::string>{ "ip-b2", "ip-b5" });
}

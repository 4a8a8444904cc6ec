#include <configuration/ConfigPropagation.h>
#include <configuration/ConfigStore.h>
#include <configuration/StoredValue.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <random>

using namespace sycamore;
using namespace sycamore::configuration;
using base::milliseconds;

namespace {

constexpr int kVms = 12;
constexpr milliseconds kHeartbeatInterval{ 250 };
// Time after which VMs regard an unresponsive one as lost, and after which an unanswered watch is
// restarted.
constexpr milliseconds kLossTimeout{ 1000 };
constexpr milliseconds kWatchTimeout{ 1000 };

base::VmId vmId(int vm)
{
  return base::VmId("vm-" + std::string(1, static_cast<char>('a' + vm / 4)) +
                    std::to_string(vm % 4));
}

// Simulation of 12 VMs in 3 failure domains on a manual clock. Messages take 1 to 6 ms, and 1% are
// lost.
class Deployment
{
public:
  explicit Deployment(std::uint64_t seed)
    : random_(seed)
  {
    std::set<base::VmId> all;
    for (int vm = 0; vm < kVms; ++vm) {
      all.insert(vmId(vm));
      vms_.push_back({ ConfigStore(), ConfigPropagation(vmId(vm)) });
    }
    for (int vm = 0; vm < kVms; ++vm) {
      vms_[vm].propagation.setPeers(all);
      after(milliseconds(random_() % 250), [this, vm] { heartbeat(vm); });
      after(milliseconds(random_() % 100), [this, vm] { tick(vm); });
      after(milliseconds(random_() % 1000), [this, vm] { watch(vm); });
    }
    runUntil(clock_.now() + milliseconds(2000));
  }

  // The platform confirms a change by vm, which fails before it adopts the change if `writerFails`.
  void change(int vm, bool writerFails)
  {
    const std::string document = R"({"domain":"a","state":"out"})";
    const auto value = StoredValue().changedTo(document, "vm/1").serialize();
    stored_ = ConfigObject{ objectName(base::DomainId("a")), base::Version(++version_), value };
    if (writerFails) {
      kill(vm);
    } else {
      adopt(vm, { *stored_ }, ConfigSource::Platform);
    }
  }

  void kill(int vm)
  {
    vms_[vm].alive = false;
    after(kLossTimeout, [this, vm] { declareLost(vm); });
  }

  // Returns the time until all live VMs have the change, or 60 s if they don't have it by then.
  milliseconds propagationTime()
  {
    const auto start = clock_.now();
    while (!allLiveVmsHaveChange() && clock_.now() < start + milliseconds(60'000)) {
      runUntil(clock_.now() + milliseconds(1));
    }
    return std::chrono::duration_cast<milliseconds>(clock_.now() - start);
  }

private:
  struct Vm
  {
    ConfigStore store;
    ConfigPropagation propagation;
    bool alive = true;
    bool declaredLost = false;
  };

  void after(milliseconds delay, std::function<void()> event)
  {
    events_.emplace(clock_.now() + delay, std::move(event));
  }

  void runUntil(base::TimePoint end)
  {
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      clock_.set(event.key());
      event.mapped()();
    }
    clock_.set(end);
  }

  void send(int to, std::function<void()> arrive)
  {
    if (random_() % 100 == 0) {
      return;
    }
    after(milliseconds(1 + random_() % 6), [this, to, arrive = std::move(arrive)] {
      if (vms_[to].alive) {
        arrive();
      }
    });
  }

  void perform(int vm, const PropagationActions& actions)
  {
    for (const base::VmId& peer : actions.fetchFrom) {
      fetch(vm, indexOf(peer));
    }
    for (const base::VmId& peer : actions.notify) {
      sendDigest(vm, indexOf(peer), true);
    }
  }

  void sendDigest(int from, int to, bool wantAnswer)
  {
    const ConfigDigest digest = vms_[from].store.digest();
    send(to, [this, from, to, digest, wantAnswer] {
      Vm& vm = vms_[to];
      perform(to, vm.propagation.onHeartbeat(vmId(from), digest, vm.store.digest(), clock_.now()));
      if (wantAnswer) {
        sendDigest(to, from, false);
      }
    });
  }

  void fetch(int from, int to)
  {
    const ConfigInventory inventory = vms_[from].store.inventory();
    send(to, [this, from, to, inventory] {
      const ConfigObjects newer = vms_[to].store.newerThan(inventory);
      send(from, [this, from, to, newer] {
        adopt(from, newer, ConfigSource::Peer);
        Vm& vm = vms_[from];
        perform(from,
                vm.propagation.onFetchResult(vmId(to), true, vm.store.digest(), clock_.now()));
      });
    });
  }

  void adopt(int vm, const ConfigObjects& objects, ConfigSource source)
  {
    if (vms_[vm].store.adoptAll(objects, source) > 0) {
      perform(vm, vms_[vm].propagation.onAdopted(vms_[vm].store.digest(), clock_.now()));
    }
  }

  void heartbeat(int vm)
  {
    for (int peer = 0; vms_[vm].alive && peer < kVms; ++peer) {
      if (peer != vm && !vms_[peer].declaredLost) {
        sendDigest(vm, peer, true);
      }
    }
    after(kHeartbeatInterval, [this, vm] { heartbeat(vm); });
  }

  void tick(int vm)
  {
    if (vms_[vm].alive) {
      perform(vm, vms_[vm].propagation.onTick(vms_[vm].store.digest(), clock_.now()));
    }
    after(milliseconds(100), [this, vm] { tick(vm); });
  }

  // Watch of a domain's platform watcher: the platform answers 10 to 60 ms after a change, or the
  // answer is lost.
  void watch(int vm)
  {
    const bool lost = random_() % 100 == 0;
    const bool isWatcher = platformWatcherOf(liveVmsOfDomain(vm)) == vmId(vm);
    if (vms_[vm].alive && isWatcher && !lost && stored_) {
      adopt(vm, { *stored_ }, ConfigSource::Platform);
    }
    after(lost ? kWatchTimeout : milliseconds(10 + random_() % 50), [this, vm] { watch(vm); });
  }

  std::set<base::VmId> liveVmsOfDomain(int vm) const
  {
    std::set<base::VmId> live;
    for (int other = vm / 4 * 4; other < vm / 4 * 4 + 4; ++other) {
      if (!vms_[other].declaredLost) {
        live.insert(vmId(other));
      }
    }
    return live;
  }

  void declareLost(int lostVm)
  {
    vms_[lostVm].declaredLost = true;
    std::set<base::VmId> live;
    for (int vm = 0; vm < kVms; ++vm) {
      if (!vms_[vm].declaredLost) {
        live.insert(vmId(vm));
      }
    }
    for (Vm& vm : vms_) {
      vm.propagation.setPeers(live);
    }
  }

  bool allLiveVmsHaveChange() const
  {
    return std::all_of(vms_.begin(), vms_.end(), [&](const Vm& vm) {
      return !vm.alive || vm.store.versionOf(stored_->name) == stored_->version;
    });
  }

  static int indexOf(const base::VmId& id)
  {
    return (id.value()[3] - 'a') * 4 + (id.value()[4] - '0');
  }

  std::mt19937_64 random_;
  base::ManualClock clock_;
  std::multimap<base::TimePoint, std::function<void()>> events_;
  std::vector<Vm> vms_;
  std::optional<ConfigObject> stored_;
  std::uint64_t version_ = 0;
};

// Simulates one failure scenario with 300 seeds, prints the propagation times and returns the
// longest.
milliseconds longestPropagation(const char* name, const std::function<void(Deployment&)>& failure)
{
  std::vector<milliseconds> times;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Deployment deployment(seed);
    failure(deployment);
    times.push_back(deployment.propagationTime());
  }
  std::sort(times.begin(), times.end());
  std::cout << "spread, " << name << ": p50 " << times[150].count() << " ms, p99 "
            << times[296].count() << " ms, longest " << times.back().count() << " ms\n";
  return times.back();
}

} // namespace

// Guards against a change that isn't in effect on all VMs within 4 s.
TEST_CASE(
  "a change reaches 12 VMs within 4 s despite 1% message loss and failing platform watchers")
{
  CHECK(longestPropagation("no failure", [](Deployment& deployment) {
          deployment.change(5, false);
        }) < milliseconds(4000));
  CHECK(longestPropagation("the domain's platform watcher fails", [](Deployment& deployment) {
          deployment.change(5, false);
          deployment.kill(4);
        }) < milliseconds(4000));
  CHECK(longestPropagation("the writer and a platform watcher fail", [](Deployment& deployment) {
          deployment.change(5, true);
          deployment.kill(0);
        }) < milliseconds(4000));
  CHECK(longestPropagation("the writer and all platform watchers fail", [](Deployment& deployment) {
          for (const int watcher : { 0, 4, 8 }) {
            deployment.kill(watcher);
          }
          deployment.change(5, true);
        }) < milliseconds(4000));
}

// Guards against VMs that fetch from each other endlessly because their digests stay unequal.
TEST_CASE("fetches become less frequent while the digests stay unequal")
{
  ConfigPropagation propagation(base::VmId("vm-a0"));
  propagation.setPeers({ base::VmId("vm-a1") });
  ConfigDigest other;
  other.toggle(ObjectName("domain.a"), base::Version(1));
  base::ManualClock clock;
  int fetches = 0;
  for (int i = 0; i < 600; ++i) {
    clock.advance(milliseconds(100));
    const auto actions = propagation.onHeartbeat(base::VmId("vm-a1"), other, {}, clock.now());
    for (const base::VmId& peer : actions.fetchFrom) {
      ++fetches;
      propagation.onFetchResult(peer, true, {}, clock.now());
    }
  }
  CHECK(fetches <= 34);
}

// Guards against a restarted VM that waits increasingly long between the parts of a large
// configuration.
TEST_CASE("a fetch that returned part of the newer objects is followed by the next one at once")
{
  ConfigPropagation propagation(base::VmId("vm-a0"));
  const base::VmId peer("vm-a1");
  propagation.setPeers({ peer });
  ConfigDigest theirs;
  theirs.toggle(ObjectName("domain.a"), base::Version(100));
  ConfigDigest ours;
  base::ManualClock clock;
  auto actions = propagation.onHeartbeat(peer, theirs, ours, clock.now());
  for (std::uint64_t part = 1; part <= 20; ++part) {
    REQUIRE(actions.fetchFrom.size() == 1);
    clock.advance(milliseconds(5));
    ours.toggle(ObjectName("domain.b"), base::Version(part));
    actions = propagation.onFetchResult(peer, true, ours, clock.now());
  }
}

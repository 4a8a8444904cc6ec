#include <configuration/ConfigStore.h>
#include <configuration/StoredValue.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sycamore;
using namespace sycamore::configuration;

namespace {

constexpr std::size_t kVms = 3;
const std::vector<std::string> kIds{ "a", "b", "c" };

ConfigObject makeVersion(const std::string& id, std::uint64_t version, bool deleted)
{
  const std::string document = R"({"domain":")" + id + R"(","state":"out"})";
  const std::string writer = "vm/" + std::to_string(version);
  const auto value =
    deleted ? StoredValue().deletedBy(writer) : StoredValue().changedTo(document, writer);
  return { objectName(base::DomainId(id)), base::Version(version), value.serialize() };
}

// Simulation of three VMs: the platform's history of three objects, the VMs' stores, and the newest
// version of each object that each run of a VM has adopted.
class Simulation
{
public:
  Simulation(std::size_t maxTombstones, bool staleReads)
    : maxTombstones_(maxTombstones)
    , staleReads_(staleReads)
  {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      restart(vm);
    }
  }

  // Appends the next version of an object to its history: a change or a tombstone.
  void change(const std::string& id, bool isDelete)
  {
    auto& history = histories_[id];
    history.push_back(makeVersion(id, history.size() + 1, isDelete));
  }

  void restart(std::size_t vm)
  {
    stores_[vm] = std::make_unique<ConfigStore>(maxTombstones_);
    newestAdopted_[vm].clear();
  }

  // Delivers a read from the platform: any version so far if reads may be stale, else the newest.
  void readPlatform(std::size_t vm, const std::string& id, std::size_t pick)
  {
    const auto& history = histories_[id];
    if (!history.empty()) {
      const std::size_t index = staleReads_ ? pick % history.size() : history.size() - 1;
      deliver(vm, history[index], ConfigSource::Platform);
    }
  }

  // Delivers a peer's message: the current one, or an earlier one that was delayed.
  void send(std::size_t from, std::size_t to, const std::string& id, std::size_t pick)
  {
    const auto object = stores_[from]->find(objectName(base::DomainId(id)));
    if (object) {
      messages_.push_back(*object);
    }
    if (!messages_.empty()) {
      deliver(to, messages_[pick % messages_.size()], ConfigSource::Peer);
    }
  }

  // Lets all VMs read all objects twice. During the first read a tombstone may be dropped because
  // the limit is reached, although a later object of the same read then removes another tombstone.
  // After the second read the VMs must be equal.
  void converge()
  {
    for (std::size_t i = 0; i < 2 * kVms; ++i) {
      for (const std::string& id : kIds) {
        if (!histories_[id].empty()) {
          deliver(i % kVms, histories_[id].back(), ConfigSource::Platform);
        }
      }
    }
    for (const auto& store : stores_) {
      RC_ASSERT(store->digest() == stores_[0]->digest());
      RC_ASSERT(store->valueMismatches() == 0U);
    }
  }

private:
  void deliver(std::size_t vm, const ConfigObject& object, ConfigSource source)
  {
    stores_[vm]->adopt(object, source);
    auto& newest = newestAdopted_[vm][object.name];
    const bool notAdopted = stores_[vm]->versionOf(object.name) < object.version;
    newest = notAdopted ? newest : std::max(newest, object.version);
    check(vm);
  }

  // Checks that no object is in effect in an older version than one that this run of the VM has
  // adopted.
  void check(std::size_t vm)
  {
    const auto snapshot = stores_[vm]->snapshot();
    for (const auto& [name, newest] : newestAdopted_[vm]) {
      const base::Version held = stores_[vm]->versionOf(name);
      const bool live = snapshot->domains.contains(*domainOf(name));
      RC_ASSERT(held >= newest || (held == base::Version() && !live));
      const auto object = stores_[vm]->find(name);
      RC_ASSERT(live == (object && !StoredValue::parse(object->value).isDeleted()));
    }
  }

  std::size_t maxTombstones_;
  bool staleReads_;
  std::map<std::string, std::vector<ConfigObject>> histories_;
  std::unique_ptr<ConfigStore> stores_[kVms];
  std::map<ObjectName, base::Version> newestAdopted_[kVms];
  std::vector<ConfigObject> messages_;
};

void runRandomly(Simulation& simulation)
{
  const int steps = *rc::gen::inRange(1, 200);
  for (int i = 0; i < steps; ++i) {
    const auto& id = kIds[*rc::gen::inRange<std::size_t>(0, kIds.size())];
    const auto vm = *rc::gen::inRange<std::size_t>(0, kVms);
    const auto other = *rc::gen::inRange<std::size_t>(0, kVms);
    const auto pick = *rc::gen::inRange<std::size_t>(0, 1000);
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
      case 1:
        simulation.change(id, pick % 2 == 0);
        break;
      case 2:
        simulation.restart(vm);
        break;
      case 3:
      case 4:
      case 5:
        simulation.readPlatform(vm, id, pick);
        break;
      default:
        simulation.send(vm, other, id, pick);
    }
  }
  simulation.converge();
}

} // namespace

// Guards against an adopted configuration that reverts to an older version when messages arrive out
// of order.
TEST_CASE("no order of stale reads, peers' messages, deletes and restarts reverts an object")
{
  CHECK(rc::check("with all tombstones", [] {
    Simulation simulation(ConfigStore::kMaxTombstones, true);
    runRandomly(simulation);
  }));
}

// Guards against a deleted object that reappears because its tombstone was dropped and a delayed
// message of a peer still contains it.
TEST_CASE("a delayed message of a peer doesn't restore an object whose tombstone was dropped")
{
  CHECK(rc::check("with one tombstone", [] {
    Simulation simulation(1, false);
    runRandomly(simulation);
  }));
}

// Guards against an unbounded number of tombstones, and against digests that differ forever because
// VMs dropped different tombstones.
TEST_CASE("stores that receive the same objects in different orders keep the same tombstones")
{
  ConfigStore forward(10);
  ConfigStore backward(10);
  for (int i = 0; i < 100; ++i) {
    const auto object = [](int n) {
      return makeVersion("d" + std::to_string(n), static_cast<std::uint64_t>(n) + 1, true);
    };
    forward.adopt(object(i), ConfigSource::Platform);
    backward.adopt(object(99 - i), ConfigSource::Platform);
  }
  CHECK(forward.inventory().size() == 10);
  CHECK(forward.digest() == backward.digest());
}

// Guards against an invalid stored document that removes a service or domain from the
// configuration.
TEST_CASE("an unusable object leaves the last usable version in effect")
{
  ConfigStore store;
  const ObjectName name = objectName(base::DomainId("a"));
  store.adopt(makeVersion("a", 1, false), ConfigSource::Platform);
  CHECK(store.adopt({ name, base::Version(2), R"({"domain":"a","state":"gone"})" },
                    ConfigSource::Platform) == AdoptionResult::Adopted);
  const auto snapshot = store.snapshot();
  CHECK_FALSE(snapshot->domainInService(base::DomainId("a")));
  REQUIRE(snapshot->unusable.contains(name));
  CHECK(snapshot->unusable.at(name).versionInUse == base::Version(1));
  CHECK(store.versionOf(name) == base::Version(2));
}

// Guards against a fetch whose answer exceeds the size limit, or that is never complete.
TEST_CASE("a fetch in several parts transfers all objects")
{
  ConfigStore source;
  ConfigStore target;
  for (int i = 0; i < 50; ++i) {
    source.adopt(makeVersion("d" + std::to_string(i), 1, false), ConfigSource::Platform);
  }
  for (int i = 0; i < 50 && target.digest() != source.digest(); ++i) {
    target.adoptAll(source.newerThan(target.inventory(), 100), ConfigSource::Peer);
  }
  CHECK(target.digest() == source.digest());
}

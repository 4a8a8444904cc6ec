#include <configuration/ConfigStore.h>
#include <configuration/StoredValue.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sycamore;
using namespace sycamore::configuration;

namespace {

constexpr std::size_t kVms = 3;
const std::vector<std::string> kIds{ "a", "b", "c" };

ConfigObject versionOf(const std::string& id, std::uint64_t version, bool deleted)
{
  const std::string document = R"({"domain":")" + id + R"(","state":"out"})";
  const std::string writer = "vm/" + std::to_string(version);
  const auto value =
    deleted ? StoredValue().deletedBy(writer) : StoredValue().changedTo(document, writer);
  return { objectName(base::DomainId(id)), base::Version(version), value.serialize() };
}

// Three VMs, the true history of three objects, and what each run of a VM has seen.
class World
{
public:
  World(std::size_t maxTombstones, bool staleReads)
    : maxTombstones_(maxTombstones)
    , staleReads_(staleReads)
  {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      restart(vm);
    }
  }

  // An object gets its next version: a change, or a delete if it exists.
  void change(const std::string& id, bool remove)
  {
    auto& history = histories_[id];
    history.push_back(versionOf(id, history.size() + 1, remove));
  }

  void restart(std::size_t vm)
  {
    stores_[vm] = std::make_unique<ConfigStore>(maxTombstones_);
    seen_[vm].clear();
  }

  // A read from the platform: of any version so far, or of the newest.
  void readPlatform(std::size_t vm, const std::string& id, std::size_t pick)
  {
    const auto& history = histories_[id];
    if (!history.empty()) {
      const std::size_t index = staleReads_ ? pick % history.size() : history.size() - 1;
      deliver(vm, history[index], ConfigSource::Platform);
    }
  }

  // A peer's message: of now, or an earlier one that was delayed.
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

  // All VMs read everything, twice: the first time a tombstone may be dropped for want of room that
  // a later object of the same read then frees. The second read must make them equal.
  void resolve()
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
    auto& newest = seen_[vm][object.name];
    const bool refusedByRule = stores_[vm]->versionOf(object.name) < object.version;
    newest = refusedByRule ? newest : std::max(newest, object.version);
    check(vm);
  }

  // No object is in effect in a version older than one that this run of the VM has adopted.
  void check(std::size_t vm)
  {
    const auto snapshot = stores_[vm]->snapshot();
    for (const auto& [name, newest] : seen_[vm]) {
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
  std::map<ObjectName, base::Version> seen_[kVms];
  std::vector<ConfigObject> messages_;
};

void runRandomly(World& world)
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
        world.change(id, pick % 2 == 0);
        break;
      case 2:
        world.restart(vm);
        break;
      case 3:
      case 4:
      case 5:
        world.readPlatform(vm, id, pick);
        break;
      default:
        world.send(vm, other, id, pick);
    }
  }
  world.resolve();
}

} // namespace

// Guards against a configuration that reverts, whatever the order of messages.
TEST_CASE("no order of stale reads, peers' messages, deletes and restarts reverts an object")
{
  CHECK(rc::check("with all tombstones", [] {
    World world(ConfigStore::kMaxTombstones, true);
    runRandomly(world);
  }));
}

// Guards against deleted objects that come back once their tombstones are dropped.
TEST_CASE("a peer's old message doesn't bring back an object whose tombstone was dropped")
{
  CHECK(rc::check("with one tombstone", [] {
    World world(1, false);
    runRandomly(world);
  }));
}

// Guards against tombstones that grow without bound, and against digests that then differ for ever.
TEST_CASE("stores that saw the same objects in another order keep the same tombstones")
{
  ConfigStore forward(10);
  ConfigStore backward(10);
  for (int i = 0; i < 100; ++i) {
    const auto object = [](int n) {
      return versionOf("d" + std::to_string(n), static_cast<std::uint64_t>(n) + 1, true);
    };
    forward.adopt(object(i), ConfigSource::Platform);
    backward.adopt(object(99 - i), ConfigSource::Platform);
  }
  CHECK(forward.inventory().size() == 10);
  CHECK(forward.digest() == backward.digest());
}

// Guards against an unusable document that takes a service away.
TEST_CASE("an object that can't be used leaves the last usable version in effect")
{
  ConfigStore store;
  const ObjectName name = objectName(base::DomainId("a"));
  store.adopt(versionOf("a", 1, false), ConfigSource::Platform);
  CHECK(store.adopt({ name, base::Version(2), R"({"domain":"a","state":"gone"})" },
                    ConfigSource::Platform) == AdoptionResult::Adopted);
  const auto snapshot = store.snapshot();
  CHECK_FALSE(snapshot->domainInService(base::DomainId("a")));
  REQUIRE(snapshot->unusable.contains(name));
  CHECK(snapshot->unusable.at(name).versionInUse == base::Version(1));
  CHECK(store.versionOf(name) == base::Version(2));
}

// Guards against a fetch whose answer is too large, or that never ends.
TEST_CASE("a fetch in parts brings everything across")
{
  ConfigStore source;
  ConfigStore target;
  for (int i = 0; i < 50; ++i) {
    source.adopt(versionOf("d" + std::to_string(i), 1, false), ConfigSource::Platform);
  }
  for (int i = 0; i < 50 && target.digest() != source.digest(); ++i) {
    target.adoptAll(source.newerThan(target.inventory(), 100), ConfigSource::Peer);
  }
  CHECK(target.digest() == source.digest());
}

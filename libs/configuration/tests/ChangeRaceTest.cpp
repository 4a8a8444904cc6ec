#include "FakePlatform.h"

#include <configuration/ChangeRequests.h>
#include <configuration/ChangeRunner.h>
#include <configuration/ConfigDocument.h>
#include <configuration/StoredValue.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <set>

using namespace sycamore;
using namespace sycamore::configuration;

namespace {

const ObjectName kName = objectName(base::DomainId("a"));

// Returns the counter in a document's reason; the operators increment it concurrently.
int countIn(const std::string& document)
{
  return document.empty() ? 0
                          : std::stoi(nlohmann::json::parse(document)["reason"].get<std::string>());
}

// An operator that reads the object, increments the counter, writes the object back, and starts
// over after any outcome.
class SimulatedOperator
{
public:
  SimulatedOperator(int number, FakePlatform& platform)
    : number_(number)
    , platform_(platform)
  {
  }

  // Runs one step of the change, so that the steps of several operators interleave in any order.
  void step(std::set<std::string>& confirmed, std::set<std::string>& inDoubt)
  {
    if (!coordinator_) {
      begin();
    }
    const auto now = platform_.now();
    if (const auto* write = std::get_if<WriteStep>(&step_)) {
      step_ = coordinator_->onWritten(platform_.write(*write, now), platform_.now());
    } else if (const auto* read = std::get_if<ReadStep>(&step_)) {
      step_ = coordinator_->onRead(platform_.read(*read, now), platform_.now());
    }
    if (const auto* outcome = std::get_if<ChangeOutcome>(&step_)) {
      if (outcome->verdict == ChangeVerdict::Confirmed) {
        confirmed.insert(outcome->writer);
      } else if (outcome->verdict == ChangeVerdict::InDoubt) {
        inDoubt.insert(outcome->writer);
      }
      coordinator_.reset();
    }
  }

private:
  void begin()
  {
    const auto& history = platform_.history(kName);
    const auto seen = history.empty() ? std::nullopt : std::optional(history.back());
    const std::string before = seen ? StoredValue::parse(seen->value).document() : "";
    ConfigChange change;
    change.name = kName;
    change.baseVersion = seen ? seen->version : base::Version();
    change.document =
      domainDocument({ base::DomainId("a"), true, std::to_string(countIn(before) + 1) });
    change.writer = "vm-" + std::to_string(number_) + "/" + std::to_string(++changes_);
    change.deadline = platform_.now() + base::milliseconds(500);
    coordinator_.emplace(change, seen);
    step_ = coordinator_->start(platform_.now());
  }

  int number_;
  FakePlatform& platform_;
  int changes_ = 0;
  std::optional<ChangeCoordinator> coordinator_;
  ChangeStep step_;
};

} // namespace

// Guards against lost updates and false acknowledgements when operators change an object
// concurrently.
TEST_CASE("1,000 concurrent changes of one object by 8 operators give a linear history")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    FakePlatform platform(seed, seed % 2 == 0 ? 0.1 : 0);
    std::mt19937_64 random(seed);
    std::vector<SimulatedOperator> operators;
    for (int i = 0; i < 8; ++i) {
      operators.emplace_back(i, platform);
    }
    std::set<std::string> confirmed;
    std::set<std::string> inDoubt;
    for (int i = 0; i < 1'000'000 && confirmed.size() < 1000; ++i) {
      operators[random() % operators.size()].step(confirmed, inDoubt);
      platform.deliverDelayedWrite();
    }
    REQUIRE(confirmed.size() == 1000);

    std::set<std::string> stored;
    int count = 0;
    for (const ConfigObject& object : platform.history(kName)) {
      const auto value = StoredValue::parse(object.value);
      CHECK(countIn(value.document()) == ++count);
      CHECK(stored.insert(value.writers().front()).second);
    }
    for (const std::string& writer : confirmed) {
      CHECK(stored.contains(writer));
    }
    // A change that is stored but not acknowledged is in doubt or still in progress at an operator.
    std::size_t inProgress = 0;
    for (const std::string& writer : stored) {
      inProgress += confirmed.contains(writer) || inDoubt.contains(writer) ? 0 : 1;
    }
    CHECK(inProgress <= operators.size());
    if (seed <= 2) {
      MESSAGE("faults " << std::string(seed % 2 == 0 ? "10%" : "none") << ": 1000 confirmed, "
                        << inDoubt.size() << " in doubt, " << stored.size() << " versions");
    }
  }
}

// Guards against a conflict that doesn't show the operator which change was stored instead.
TEST_CASE("a change based on an outdated version returns the winner's version and the differences")
{
  FakePlatform platform(1);
  const std::set<base::DomainId> domains{ base::DomainId("a") };
  const auto deadline = platform.now() + base::milliseconds(1000);
  const auto change = [&](bool in, const char* reason, std::uint64_t base, const char* writer) {
    const DomainConfig domain{ base::DomainId("a"), in, reason };
    const ChangeParameters parameters{ base::Version(base), writer, false, deadline };
    return std::get<ConfigChange>(setDomainState(domain, domains, parameters));
  };
  CHECK(runChange(change(false, "fire drill", 0, "vm/1"), std::nullopt, platform).verdict ==
        ChangeVerdict::Confirmed);
  const auto lost = runChange(change(true, "", 0, "vm/2"), std::nullopt, platform);
  CHECK(lost.verdict == ChangeVerdict::Conflict);
  CHECK(lost.version == base::Version(1));
  CHECK(lost.differences == std::vector<Difference>{ { "/reason", "", "\"fire drill\"" },
                                                     { "/state", "\"in\"", "\"out\"" } });
  CHECK(platform.history(kName).size() == 1);
}

// Guards against a change of the shard count, which would reassign all keys.
TEST_CASE("an update that changes a fixed field of the version that it replaces is refused")
{
  FakePlatform platform(1);
  const base::ServiceId service("layout");
  const std::set<base::DomainId> domains{ base::DomainId("a") };
  const auto document = [](int shards) {
    return R"({"service":"layout","domains":["a"],"methods":{"plan":{}},"shards":)" +
           std::to_string(shards) + "}";
  };
  const auto deadline = platform.now() + base::milliseconds(1000);
  const ChangeParameters first{ base::Version(), "vm/1", false, deadline };
  const auto create = std::get<ConfigChange>(createService(service, document(16), domains, first));
  REQUIRE(runChange(create, std::nullopt, platform).verdict == ChangeVerdict::Confirmed);
  const ChangeParameters second{ base::Version(1), "vm/2", false, deadline };
  const auto update = std::get<ConfigChange>(updateService(service, document(32), domains, second));
  const auto outcome = runChange(update, std::nullopt, platform);
  CHECK(outcome.verdict == ChangeVerdict::Refused);
  REQUIRE(outcome.faults.size() == 1);
  CHECK(outcome.faults[0].path == "/shards");
}

// Guards against a change that is acknowledged while the platform is down.
TEST_CASE("a change without any answer from the platform is not acknowledged")
{
  FakePlatform platform(1, 1.0);
  const DomainConfig domain{ base::DomainId("a"), false, "" };
  const ChangeParameters parameters{
    base::Version(), "vm/1", false, platform.now() + base::milliseconds(800)
  };
  const auto change =
    std::get<ConfigChange>(setDomainState(domain, { base::DomainId("a") }, parameters));
  CHECK(runChange(change, std::nullopt, platform).verdict == ChangeVerdict::InDoubt);
}

// Guards against a deleted service that can't be created again, and against a dry run that stores
// the document.
TEST_CASE("a deleted service can be created again with a higher version")
{
  FakePlatform platform(1);
  const base::ServiceId service("layout");
  const std::string document = R"({"service":"layout","domains":["a"],"methods":{"plan":{}}})";
  const std::set<base::DomainId> domains{ base::DomainId("a") };
  const auto parameters = [&](std::uint64_t base, const char* writer, bool dryRun = false) {
    return ChangeParameters{
      base::Version(base), writer, dryRun, platform.now() + base::milliseconds(1000)
    };
  };
  const auto run = [&](const CheckedChange& change) {
    return runChange(std::get<ConfigChange>(change), std::nullopt, platform);
  };
  CHECK(run(createService(service, document, domains, parameters(0, "vm/0", true))).verdict ==
        ChangeVerdict::Planned);
  CHECK(run(createService(service, document, domains, parameters(0, "vm/1"))).version.value() == 1);
  CHECK(run(deleteService(service, parameters(1, "vm/2"))).version.value() == 2);
  CHECK(run(createService(service, document, domains, parameters(0, "vm/3"))).version.value() == 3);
}

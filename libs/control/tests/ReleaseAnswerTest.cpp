#include <base/Time.h>
#include <control/OwnershipController.h>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <ownership/LeaseTimings.h>
#include <placement/ShardMapBuilder.h>
#include <transport/FaultSwitch.h>
#include <transport/testing/ScriptedServer.h>

#include <atomic>
#include <functional>
#include <set>

using namespace sycamore;
using namespace sycamore::control;
using nlohmann::json;
using transport::testing::ScriptedServer;

namespace {

constexpr base::milliseconds kTickInterval{ 20 };
constexpr std::chrono::seconds kTimeout{ 10 };
const base::ServerId kOwner("layout-1");
const base::ServerId kSuccessor("layout-2");
const base::VmId kSelf("vm-1");

// A backend server that confirms its first release and no later one, whose work takes too long. On
// each connection that it has used before, it sends a copy of its first answer to a release in
// front of the one that is due.
class RepeatingBackend
{
public:
  RepeatingBackend()
    : server_([this](const ScriptedServer::Received& request) { return answerTo(request); })
  {
  }

  std::string address() const { return server_.address(); }
  unsigned releases() const { return releases_; }

private:
  std::string answerTo(const ScriptedServer::Received& request)
  {
    const std::lock_guard lock(mutex_);
    const bool isReused = !usedConnections_.insert(request.connection).second;
    if (!request.text.starts_with("POST /sycamore/release")) {
      const auto now = base::SteadyClock().now().time_since_epoch().count();
      return answer({ { "accepted", true }, { "server_time_ns", now }, { "incarnation", 1 } });
    }
    const bool isFirst = releases_++ == 0;
    const std::string own = answer({ { "released", isFirst } });
    return isReused && !isFirst ? answer({ { "released", true } }) + own : own;
  }

  static std::string answer(const json& body) { return ScriptedServer::answer(200, body.dump()); }

  std::mutex mutex_;
  std::set<std::size_t> usedConnections_;
  std::atomic<unsigned> releases_{ 0 };
  ScriptedServer server_;
};

// The controller of an entry VM that is the only voter of a server with two shards, with a store
// that confirms each write of the shard map immediately.
class SingleVoter : public OwnershipEvents
{
public:
  explicit SingleVoter(const std::string& ownerAddress)
  {
    config_.service = base::ServiceId("layout");
    config_.shards = 2;
    placement::ShardMapBuilder builder(config_.service, config_.shards);
    builder.setServer(kOwner, { ownerAddress, base::DomainId("a"), { kSelf } });
    builder.setServer(kSuccessor, { "127.0.0.1:9", base::DomainId("a"), { base::VmId("vm-2") } });
    for (std::uint32_t shard = 0; shard < config_.shards; ++shard) {
      builder.assign(base::ShardId(shard), kOwner, kSuccessor);
    }
    install(builder.setGeneration(base::Generation(1)).build());
    thread_.startTicking(kTickInterval, [this] { controller_.tick(true); });
  }

  ~SingleVoter() override
  {
    io_.stop();
    thread_.stop();
  }

  bool isServing()
  {
    return ask([this] { return controller_.held().size() == 1 && controller_.isServing(kOwner); });
  }

  bool startMove(const std::string& shards)
  {
    return ask([&] { return controller_.startMove(kOwner, ownership::ShardSet::parse(shards)); });
  }

  // Returns the number of writes that moved shards.
  unsigned moves() const { return moves_; }

  void writeMap(const base::ServiceId&,
                const base::ServerId&,
                const ownership::WriteMap& change) override
  {
    ++moves_;
    thread_.post([this, shards = change.shards] {
      placement::ShardMapBuilder builder(*map_);
      for (const auto& range : shards.ranges()) {
        for (std::uint32_t shard = range.first; shard <= range.last; ++shard) {
          builder.assign(base::ShardId(shard), kSuccessor, kOwner);
        }
      }
      install(builder.setGeneration(next()).build());
    });
  }

  void advanceGeneration(const base::ServiceId&,
                         const base::ServerId& server,
                         base::Generation) override
  {
    thread_.post([this, server] {
      install(placement::ShardMapBuilder(*map_).setGeneration(next()).build());
      controller_.onGenerationAdvanced({ server }, map_->generation());
    });
  }

  void onChangeResolved(const base::ServerId&) override {}
  void onHoldersChanged() override {}

private:
  // Runs a function on the control thread.
  bool ask(const std::function<bool()>& function)
  {
    const auto result = thread_.ask(function, base::SteadyClock().now() + kTimeout);
    REQUIRE(result);
    return *result;
  }

  base::Generation next() const { return base::Generation(map_->generation().value() + 1); }

  void install(placement::ShardMap map)
  {
    map_ = std::make_shared<const placement::ShardMap>(std::move(map));
    controller_.onMap(map_, config_);
  }

  std::atomic<unsigned> moves_{ 0 };
  configuration::ServiceConfig config_;
  std::shared_ptr<const placement::ShardMap> map_;
  transport::FaultSwitch faults_;
  transport::HttpClientPool clients_{ {}, faults_ };
  ControlThread thread_;
  ControlIo io_{ clients_, thread_, 4 };
  membership::MemberTable members_{ kSelf, base::DomainId("a"), {} };
  ControlCounters counters_;
  ControlContext context_{ { kSelf, base::Incarnation(1) },
                           base::DomainId("a"),
                           "",
                           "",
                           io_,
                           members_,
                           counters_,
                           [](const auto&) {} };
  router::DispatcherTable dispatchers_;
  router::QuarantineRegistry quarantine_;
  OwnershipController controller_{ context_,
                                   *this,
                                   ownership::LeaseTimings::Builder().build(),
                                   dispatchers_,
                                   quarantine_ };
};

bool eventually(const std::function<bool()>& condition)
{
  const base::TimePoint deadline = base::SteadyClock().now() + kTimeout;
  while (!condition()) {
    if (base::SteadyClock().now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

} // namespace

TEST_CASE("a copy of the answer to an earlier release doesn't move shards that are still in use")
{
  constexpr unsigned kUnconfirmedReleases = 5;
  RepeatingBackend backend;
  SingleVoter vm(backend.address());
  REQUIRE(eventually([&] { return vm.isServing(); }));
  REQUIRE(vm.startMove("0"));
  REQUIRE(eventually([&] { return vm.moves() == 1; }));
  REQUIRE(eventually([&] { return vm.startMove("1"); }));
  CHECK(eventually([&] { return backend.releases() > kUnconfirmedReleases || vm.moves() > 1; }));
  CHECK(vm.moves() == 1);
}

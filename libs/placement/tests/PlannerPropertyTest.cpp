#include "World.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace sycamore::placement;
using sycamore::base::DomainId;
using sycamore::base::Key;
using sycamore::base::ShardId;
using testing::World;

namespace {

constexpr std::uint32_t kServers = 9;
constexpr std::uint32_t kShards = 48;

PlannerOptions smallSteps()
{
  PlannerOptions options;
  options.maxMovesPerStep = 10;
  options.maxBalanceMovesPerStep = 4;
  return options;
}

bool isUrgent(MoveReason reason)
{
  return reason < MoveReason::KeyCooled;
}

// Applies random events and checks every plan and map.
class Script
{
public:
  void run()
  {
    const auto events = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
    for (const int event : events) {
      apply(event);
      check(world_.step(hot_, cooled_));
      // Each step may already be the last one before a VM takes over.
      RC_ASSERT(world_.map.rowCount() == kShards + world_.map.overrides().size());
    }
    calmDown();
  }

private:
  void apply(int event)
  {
    const auto which = static_cast<std::uint32_t>(event / 10) % kServers;
    const Key key("key-" + std::to_string(event % 7));
    switch (event % 10) {
      case 0:
        world_.view(which).state = ServerState::Leaving;
        break;
      case 1:
        world_.view(which).state = ServerState::Lost;
        break;
      case 2:
      case 3:
        world_.view(which).state = ServerState::Cold;
        world_.view(which).warmth = (event % 11) / 10.0;
        break;
      case 4:
      case 5:
        world_.view(which).state = ServerState::Live;
        break;
      case 6:
        world_.out.assign(1, World::domainName(which));
        break;
      case 7:
        world_.out.clear();
        break;
      case 8:
        world_.loads.recordLoad(
          ShardId(static_cast<std::uint32_t>(event) % kShards), event, world_.now);
        hot_.push_back(key);
        break;
      default:
        cooled_.assign(1, key);
        std::erase(hot_, key);
        world_.now += std::chrono::seconds(event % 40);
    }
  }

  void check(const Plan& plan)
  {
    RC_ASSERT(plan.moves.size() <= 10U);
    const auto last = [](const Move& a, const Move& b) { return a.reason < b.reason; };
    RC_ASSERT(std::ranges::is_sorted(plan.moves, last));
    for (const Move& move : plan.moves) {
      RC_ASSERT(world_.map.owner(move.shard) == move.to);
      RC_ASSERT(move.successor != move.to);
      const auto previous = movedAt_.find(move.shard);
      if (!isUrgent(move.reason) && previous != movedAt_.end()) {
        RC_ASSERT(world_.now - previous->second >= std::chrono::seconds(60));
      }
      movedAt_[move.shard] = world_.now;
    }
    for (const ShardId shard : plan.merges) {
      movedAt_.erase(shard);
    }
    world_.map.forEachShard([&](ShardId, const ShardRow& row) {
      RC_ASSERT(row.owner.value() < world_.map.servers().size());
      RC_ASSERT(row.owner != row.successor);
    });
  }

  // With everything back and a quiet load the planner must fall silent.
  void calmDown()
  {
    for (ServerView& view : world_.views) {
      view.state = ServerState::Live;
    }
    world_.out.clear();
    // Ten minutes are ten times the minimum time between two moves of a shard.
    for (int i = 0; i < 600; ++i) {
      check(world_.step());
    }
    for (int i = 0; i < 120; ++i) {
      RC_ASSERT(world_.step().empty());
    }
  }

  World world_{ kServers, kShards, smallSteps() };
  std::vector<Key> hot_;
  std::vector<Key> cooled_;
  std::map<ShardId, sycamore::base::TimePoint> movedAt_;
};

rc::detail::TestParams seeded()
{
  rc::detail::TestParams params;
  params.seed = 20240611;
  params.maxSuccess = 100;
  return params;
}

} // namespace

// Guards against any sequence of joins, leaves, losses, domain changes, hot keys and loads that
// makes a plan exceed its bound, name an unknown server, move a shard too soon or never end.
TEST_CASE("no sequence of events breaks the rules of plans")
{
  const auto result =
    rc::detail::checkTestable([] { Script().run(); }, rc::detail::TestMetadata{}, seeded());
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(text.str());
  CHECK(result.template is<rc::detail::SuccessResult>());
}

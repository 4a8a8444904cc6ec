#include "PlacementFixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace sycamore::placement;
using sycamore::base::DomainId;
using sycamore::base::Key;
using sycamore::base::ShardId;
using testing::PlacementFixture;

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
class EventSequence
{
public:
  void run()
  {
    const auto events = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
    for (const int event : events) {
      apply(event);
      check(fixture_.step(hot_, cooled_));
      // After any step another VM may take over planning, so each map must be complete.
      RC_ASSERT(fixture_.map.rowCount() == kShards + fixture_.map.overrides().size());
    }
    checkConvergence();
  }

private:
  void apply(int event)
  {
    const auto server = static_cast<std::uint32_t>(event / 10) % kServers;
    const Key key("key-" + std::to_string(event % 7));
    switch (event % 10) {
      case 0:
        fixture_.view(server).state = ServerState::Leaving;
        break;
      case 1:
        fixture_.view(server).state = ServerState::Lost;
        break;
      case 2:
      case 3:
        fixture_.view(server).state = ServerState::Cold;
        fixture_.view(server).warmth = (event % 11) / 10.0;
        break;
      case 4:
      case 5:
        fixture_.view(server).state = ServerState::Live;
        break;
      case 6:
        fixture_.domainsOut.assign(1, PlacementFixture::domainName(server));
        break;
      case 7:
        fixture_.domainsOut.clear();
        break;
      case 8:
        fixture_.loads.recordLoad(
          ShardId(static_cast<std::uint32_t>(event) % kShards), event, fixture_.now);
        hot_.push_back(key);
        break;
      default:
        cooled_.assign(1, key);
        std::erase(hot_, key);
        fixture_.now += std::chrono::seconds(event % 40);
    }
  }

  void check(const Plan& plan)
  {
    RC_ASSERT(plan.moves.size() <= 10U);
    const auto byReason = [](const Move& a, const Move& b) { return a.reason < b.reason; };
    RC_ASSERT(std::ranges::is_sorted(plan.moves, byReason));
    for (const Move& move : plan.moves) {
      RC_ASSERT(fixture_.map.owner(move.shard) == move.to);
      RC_ASSERT(move.successor != move.to);
      const auto lastMove = movedAt_.find(move.shard);
      if (!isUrgent(move.reason) && lastMove != movedAt_.end()) {
        RC_ASSERT(fixture_.now - lastMove->second >= std::chrono::seconds(60));
      }
      movedAt_[move.shard] = fixture_.now;
    }
    for (const ShardId shard : plan.merges) {
      movedAt_.erase(shard);
    }
    fixture_.map.forEachShard([&](ShardId, const ShardRow& row) {
      RC_ASSERT(row.owner.value() < fixture_.map.servers().size());
      RC_ASSERT(row.owner != row.successor);
    });
  }

  // With all servers live and a constant load the planner must stop making changes.
  void checkConvergence()
  {
    for (ServerView& view : fixture_.views) {
      view.state = ServerState::Live;
    }
    fixture_.domainsOut.clear();
    // Ten minutes are ten times the minimum time between two moves of a shard.
    for (int i = 0; i < 600; ++i) {
      check(fixture_.step());
    }
    for (int i = 0; i < 120; ++i) {
      RC_ASSERT(fixture_.step().empty());
    }
  }

  PlacementFixture fixture_{ kServers, kShards, smallSteps() };
  std::vector<Key> hot_;
  std::vector<Key> cooled_;
  std::map<ShardId, sycamore::base::TimePoint> movedAt_;
};

rc::detail::TestParams seededParams()
{
  rc::detail::TestParams params;
  params.seed = 20240611;
  params.maxSuccess = 100;
  return params;
}

} // namespace

// Guards against a sequence of joins, leaves, losses, domain changes, hot keys and loads that makes
// a plan exceed its limit, name an unknown server, move a shard too soon or never end.
TEST_CASE("no sequence of events breaks the rules of plans")
{
  const auto result = rc::detail::checkTestable(
    [] { EventSequence().run(); }, rc::detail::TestMetadata{}, seededParams());
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(text.str());
  CHECK(result.template is<rc::detail::SuccessResult>());
}

#include "Deployment.h"

#include <placement/PlanApplication.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamore::placement::quality {

namespace {

constexpr std::size_t kSummaryEntries = 256;

PlannerOptions optionsOf(const Scenario& scenario)
{
  PlannerOptions options = PlannerOptions::forShardCount(scenario.shards);
  options.churnWeight = scenario.churnWeight;
  return options;
}

} // namespace

Deployment::Deployment(const Scenario& scenario,
                       std::shared_ptr<const ZipfKeys> keys,
                       std::uint64_t seed)
  : scenario_(scenario)
  , keys_(std::move(keys))
  , random_(seed)
  , map_(initialMap())
  , loads_(scenario.shards)
  , planner_(optionsOf(scenario))
  , trackers_(scenario.entryVms)
{
  for (std::uint32_t i = 0; i < scenario.servers; ++i) {
    views_.push_back(view(i));
  }
}

void Deployment::runSecond()
{
  sampleRequests();
  for (const auto& [shard, count] : requestCounts_) {
    loads_.recordLoad(shard, count, now_);
  }
  requestCounts_.clear();
  const HotKeySummary summary = mergedSummary();
  plan(policy_.decide(map_, summary, views_.size(), now_), summary);
}

void Deployment::runExpectedSecond()
{
  now_ += std::chrono::seconds(1);
  for (const auto& [shard, load] : expectedLoads()) {
    loads_.recordLoad(shard, load * scenario_.requestRate, now_);
  }
  plan({}, {});
}

void Deployment::leave(std::uint32_t server)
{
  std::ranges::find(views_, serverName(server), &ServerView::id)->state = ServerState::Leaving;
}

void Deployment::join(std::uint32_t server)
{
  views_.push_back(view(server));
  if (auto next = updateServerList(map_, views_, entryVms(), VoterMode::Hold, "quality")) {
    history_.onMapAdopted(map_, *next, now_);
    map_ = std::move(*next);
  }
}

void Deployment::addHotKey(base::Key key, double rate)
{
  hotKey_ = std::move(key);
  hotKeyRate_ = rate;
}

double Deployment::imbalance() const
{
  std::unordered_map<base::ServerId, double> servers;
  double total = 0;
  for (const auto& [shard, load] : expectedLoads()) {
    servers[map_.owner(shard)] += load;
    total += load;
  }
  double highest = 0;
  for (const auto& [server, load] : servers) {
    highest = std::max(highest, load);
  }
  const auto present = std::ranges::count(views_, ServerState::Live, &ServerView::state);
  return highest * static_cast<double>(present) / total;
}

base::ServerId Deployment::serverName(std::uint32_t server) const
{
  return base::ServerId(scenario_.name + "-" + std::to_string(server));
}

base::DomainId Deployment::domainName(std::uint32_t i) const
{
  return base::DomainId(std::string(1, static_cast<char>('a' + i % scenario_.domains)));
}

ServerView Deployment::view(std::uint32_t server) const
{
  return { serverName(server), "127.0.0.1:9", domainName(server) };
}

std::vector<EntryVm> Deployment::entryVms() const
{
  std::vector<EntryVm> vms;
  for (std::uint32_t i = 0; i < scenario_.entryVms; ++i) {
    vms.push_back({ base::VmId("vm-" + std::to_string(i)), domainName(i) });
  }
  return vms;
}

ShardMap Deployment::initialMap() const
{
  std::vector<ServerView> servers;
  for (std::uint32_t i = 0; i < scenario_.servers; ++i) {
    servers.push_back(view(i));
  }
  const base::ServiceId service(scenario_.name);
  return placement::createInitialMap(
    service, scenario_.shards, servers, entryVms(), VoterMode::Hold, "quality");
}

void Deployment::sampleRequests()
{
  const base::Duration step = base::Duration(std::chrono::seconds(1)) / scenario_.requestRate;
  hotKeyRequests_ = 0;
  const double hotShare = hotKeyRate_ / scenario_.requestRate;
  const base::TimePoint end = now_ + std::chrono::seconds(1);
  for (std::uint32_t i = 0; i < scenario_.requestRate; ++i) {
    now_ += step;
    if (hotKey_ && std::uniform_real_distribution<double>()(random_) < hotShare) {
      sendRequest(hotKey_->value());
      hotKeyRequests_ += 1;
    } else {
      sendRequest(keys_->key(keys_->sampleRank(random_)));
    }
  }
  now_ = end;
}

void Deployment::sendRequest(const std::string& key)
{
  trackers_[random_() % trackers_.size()].record(key, now_);
  requestCounts_[map_.shardOf(base::Key(key))] += 1;
}

// Merges the summaries of all trackers, encoded as JSON as between real VMs.
HotKeySummary Deployment::mergedSummary() const
{
  HotKeySummary merged;
  for (const HotKeyTracker& tracker : trackers_) {
    const auto wire = toJson(tracker.summary(now_, kSummaryEntries));
    merged = merge(merged, hotKeySummaryFromJson(wire), trackers_.size() * kSummaryEntries);
  }
  return merged;
}

void Deployment::plan(const HotKeyPolicy::Decision& decision, const HotKeySummary& summary)
{
  const Plan next =
    planner_.plan({ map_, views_, {}, loads_, history_, decision.hot, decision.cooled }, now_);
  if (next.empty()) {
    return;
  }
  recordMoves(next);
  const ShardMap before = map_;
  adopt(next);
  if (!next.splits.empty() || !next.merges.empty()) {
    expectedLoads_.clear();
  }
  updateLoads(next, before, summary);
}

void Deployment::adopt(const Plan& plan)
{
  ShardMap next = applyPlan(map_, plan, "quality");
  history_.onMapAdopted(map_, next, now_);
  history_.recordReasons(plan.moves);
  map_ = std::move(next);
}

void Deployment::updateLoads(const Plan& plan, const ShardMap& before, const HotKeySummary& summary)
{
  for (const base::ShardId shard : plan.merges) {
    loads_.merge(shard, before.homeShardOf(before.overrideAt(shard)->key));
  }
  for (const base::Key& key : plan.splits) {
    const auto entry = std::ranges::find(summary.entries, key, &HotKeySummary::Entry::key);
    loads_.split(map_.homeShardOf(key), map_.shardOf(key), entry->rate, now_);
  }
}

void Deployment::recordMoves(const Plan& plan)
{
  for (const Move& move : plan.moves) {
    const auto last = movedAt_.find(move.shard);
    const bool urgent = move.reason < MoveReason::KeyCooled;
    if (!urgent && last != movedAt_.end() &&
        now_ - last->second < planner_.options().minimumMoveInterval) {
      ++earlyRepeatMoves_;
    }
    movedAt_[move.shard] = now_;
    ++moves_;
  }
}

const std::unordered_map<base::ShardId, double>& Deployment::expectedLoads() const
{
  if (!expectedLoads_.empty()) {
    return expectedLoads_;
  }
  for (std::uint32_t i = 0; i < map_.shardCount(); ++i) {
    expectedLoads_[base::ShardId(i)] = keys_->tailShare() / map_.shardCount();
  }
  for (std::uint64_t rank = 1; rank <= keys_->headSize(); ++rank) {
    expectedLoads_[map_.shardOf(base::Key(keys_->key(rank)))] += keys_->share(rank);
  }
  return expectedLoads_;
}

} // namespace sycamore::placement::quality

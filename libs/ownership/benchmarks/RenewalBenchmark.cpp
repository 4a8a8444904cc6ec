#include <benchmark/benchmark.h>
#include <ownership/GrantRegister.h>
#include <ownership/ServerLease.h>
#include <ownership/Voter.h>

#include <map>
#include <string>

using namespace sycamore;
using namespace sycamore::ownership;

namespace {

const base::TimePoint kStart{ std::chrono::seconds(100) };

// One entry VM that holds the leases of many servers, with two other voters and the servers, in one
// thread.
class Deployment
{
public:
  explicit Deployment(int leases)
  {
    for (const char* name : { "a", "b", "c" }) {
      voters_.emplace(base::VmId(name), Voter(id(name), timings(), kStart));
    }
    for (int i = 0; i < leases; ++i) {
      servers_.emplace_back(row(i).server, base::Incarnation(1), kStart);
      leases_.emplace_back(id("a"), timings(), row(i), kStart);
    }
    for (int i = 0; i < 30; ++i) {
      renewAll();
    }
  }

  // Renews the votes and grants of all leases once.
  void renewAll()
  {
    now_ += timings().renewalInterval();
    for (std::size_t i = 0; i < leases_.size(); ++i) {
      apply(i, leases_[i].tick(now_));
    }
  }

  void resetCounts() { voteBytes_ = grantBytes_ = 0; }
  double voteBytes() const { return static_cast<double>(voteBytes_); }
  double grantBytes() const { return static_cast<double>(grantBytes_); }
  bool isSteady() const { return leases_.front().mayDispatch(now_); }

private:
  static HolderId id(const char* name) { return { base::VmId(name), base::Incarnation(1) }; }
  static LeaseTimings timings() { return LeaseTimings::Builder().build(); }

  static ServerRow row(int index)
  {
    ServerRow result;
    result.server = base::ServerId("server-" + std::to_string(index));
    result.generation = base::Generation(7);
    result.rowGeneration = base::Generation(7);
    result.owned = ShardSet::parse("0-12,40,77,130-131");
    result.voters = { base::VmId("a"), base::VmId("b"), base::VmId("c") };
    return result;
  }

  void apply(std::size_t index, const LeaseActions& actions)
  {
    for (const LeaseAction& action : actions) {
      std::visit([&](const auto& item) { perform(index, item); }, action);
    }
  }

  template<typename Action>
  void perform(std::size_t, const Action&)
  {
  }

  void perform(std::size_t index, const SendVote& action)
  {
    const VoteReply reply = voters_.at(action.to).vote(action.request, now_);
    if (action.to != base::VmId("a")) {
      voteBytes_ += size(action.request) + size(reply);
    }
    apply(index, leases_[index].onVoteReply(reply, now_));
  }

  void perform(std::size_t index, const SendGrant& action)
  {
    const auto request = leases_[index].grantToSend(action.term, {}, now_);
    if (request) {
      const GrantReply reply = servers_[index].onGrant(*request, now_);
      grantBytes_ += size(*request) + size(reply);
      apply(index, leases_[index].onGrantReply(reply, now_));
    }
  }

  void perform(std::size_t index, const AdvanceGeneration& action)
  {
    ServerRow advanced = row(static_cast<int>(index));
    advanced.generation = base::Generation(action.base.value() + 1);
    apply(index, leases_[index].onMap(advanced, now_));
    leases_[index].onGenerationAdvanced(advanced.generation, now_);
  }

  // Sizes of the messages in a packed binary form: 8 bytes for a number, 1 for a flag, names
  // without padding.
  static std::size_t size(const VoteRequest& request)
  {
    std::size_t total =
      8 * 6 + 4 + request.server.value().size() + request.holder.vm.value().size();
    for (const base::VmId& peer : request.peers) {
      total += 1 + peer.value().size();
    }
    return total + (request.proof ? 16 : 0);
  }

  static std::size_t size(const VoteReply& reply)
  {
    return 8 * 8 + 3 + reply.server.value().size() + reply.holder.vm.value().size() +
           reply.voter.value().size();
  }

  static std::size_t size(const GrantRequest& request)
  {
    return 8 * 7 + request.server.value().size() + request.holder.vm.value().size() +
           (request.shards ? request.shards->text().size() : 0);
  }

  static std::size_t size(const GrantReply& reply)
  {
    return 8 * 4 + 2 + reply.server.value().size();
  }

  base::TimePoint now_ = kStart;
  std::map<base::VmId, Voter> voters_;
  std::vector<GrantRegister> servers_;
  std::vector<ServerLease> leases_;
  std::size_t voteBytes_ = 0;
  std::size_t grantBytes_ = 0;
};

void renewal(benchmark::State& state)
{
  Deployment deployment(static_cast<int>(state.range(0)));
  if (!deployment.isSteady()) {
    state.SkipWithError("the server leases are not held after the warm-up");
    return;
  }
  deployment.resetCounts();
  for (auto _ : state) {
    deployment.renewAll();
  }
  const double renewals =
    static_cast<double>(state.iterations()) * static_cast<double>(state.range(0));
  state.counters["vote_bytes"] = deployment.voteBytes() / renewals;
  state.counters["grant_bytes"] = deployment.grantBytes() / renewals;
  state.counters["per_renewal"] =
    benchmark::Counter(renewals, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

BENCHMARK(renewal)->RangeMultiplier(10)->Range(10, 10000)->Unit(benchmark::kMicrosecond);

} // namespace

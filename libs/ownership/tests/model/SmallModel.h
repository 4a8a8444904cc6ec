#pragma once

#include <GrantRegisterImpl.h>
#include <ServerLeaseImpl.h>
#include <VoterImpl.h>

#include <array>
#include <optional>
#include <string>

namespace sycamore::ownership::model {

// A deployment small enough to explore every sequence of faults: three voters, two of them
// candidates for the lease of one server, the server's successor with a fixed holder, and messages
// without delay. A value type: the exploration copies it at every branch.
template<OwnershipRules Rules>
class SmallModel
{
public:
  static constexpr int kChoices = 8;

  SmallModel()
    : voters_{ makeVoter(0), makeVoter(1), makeVoter(2) }
    , leases_{ makeLease(0), makeLease(1) }
  {
    run(base::milliseconds(2500));
  }

  bool granted() const { return servers_[0].mayExecute(base::ShardId(0), now_); }

  // Applies one fault or its end: 1 and 2 cut or reconnect a candidate and the server, 3 and 4
  // isolate a candidate from the VMs or end that, 5 to 7 restart a VM, other values change nothing.
  void choose(int choice)
  {
    switch (choice) {
      case 1:
      case 2:
        serverCut_[choice - 1] = !serverCut_[choice - 1];
        break;
      case 3:
      case 4:
        isolated_[choice - 3] = !isolated_[choice - 3];
        break;
      case 5:
        restartVm(2);
        break;
      case 6:
      case 7:
        restartVm(choice - 6);
        break;
      default:
        break;
    }
  }

  void run(base::Duration span)
  {
    for (const base::TimePoint end = now_ + span; now_ < end && !violation_;) {
      now_ += base::milliseconds(25);
      for (int vm : { 0, 1 }) {
        apply(vm, leases_[vm].tick(now_));
      }
      recoverVoters();
      grantSuccessor();
      check();
    }
  }

  const std::optional<std::string>& violation() const { return violation_; }

private:
  static base::VmId name(int vm) { return base::VmId("v" + std::to_string(vm)); }
  static LeaseTimings timings() { return LeaseTimings::Builder().build(); }

  static ServerRow row(std::uint64_t generation)
  {
    ServerRow result;
    result.server = base::ServerId("s0");
    result.generation = base::Generation(generation);
    result.rowGeneration = base::Generation(1);
    result.owned = ShardSet::parse("0");
    result.successors[base::ServerId("s1")] = result.owned;
    result.voters = { name(0), name(1), name(2) };
    return result;
  }

  HolderId self(int vm) const { return { name(vm), base::Incarnation(incarnations_[vm]) }; }
  BasicVoter<Rules> makeVoter(int vm) const { return { self(vm), timings(), now_ }; }

  BasicServerLease<Rules> makeLease(int vm) const
  {
    return { self(vm), timings(), row(generation_), now_ };
  }

  void restartVm(int vm)
  {
    ++incarnations_[vm];
    voters_[vm] = makeVoter(vm);
    if (vm < 2) {
      leases_[vm] = makeLease(vm);
    }
  }

  bool connected(int from, int to) const
  {
    const auto isIsolated = [&](int vm) { return vm < 2 && isolated_[vm]; };
    return from == to || (!isIsolated(from) && !isIsolated(to));
  }

  void apply(int vm, const LeaseActions& actions)
  {
    for (const LeaseAction& action : actions) {
      std::visit([&](const auto& item) { perform(vm, item); }, action);
    }
  }

  template<typename Action>
  void perform(int, const Action&)
  {
  }

  void perform(int vm, const SendVote& action)
  {
    const int to = std::stoi(action.to.value().substr(1));
    if (!connected(vm, to)) {
      return;
    }
    const VoteReply reply = voters_[to].vote(action.request, now_);
    if (reply.answer == VoteAnswer::Granted && to < 2) {
      leases_[to].onHolderSeen(action.request.holder, action.request.term, now_);
    }
    apply(vm, leases_[vm].onVoteReply(reply, now_));
  }

  void perform(int vm, const SendGrant& action)
  {
    const auto request = leases_[vm].grantToSend(action.term, {}, now_);
    if (!request || serverCut_[vm]) {
      return;
    }
    const GrantReply reply = servers_[0].onGrant(*request, now_);
    apply(vm, leases_[vm].onGrantReply(reply, now_));
  }

  // The platform is always up for a write of the next generation; failover writes are not modelled.
  void perform(int vm, const AdvanceGeneration& action)
  {
    const bool own = generation_ == action.base.value();
    generation_ += own ? 1 : 0;
    apply(vm, leases_[vm].onMap(row(generation_), now_));
    if (own) {
      leases_[vm].onGenerationAdvanced(base::Generation(generation_), now_);
    }
  }

  void recoverVoters()
  {
    for (int vm = 0; vm < 3; ++vm) {
      for (const VoterStateRequest& request : voters_[vm].stateRequests(now_)) {
        const int to = std::stoi(request.to.value().substr(1));
        if (connected(vm, to)) {
          voters_[vm].onStateReply(voters_[to].answer(request));
        }
      }
    }
  }

  // The successor's holder grants what it is permitted to grant; the successor's own lease never
  // changes.
  void grantSuccessor()
  {
    for (int vm : { 0, 1 }) {
      const auto permit = leases_[vm].permitFor(base::ServerId("s1"), now_);
      if (!permit || isolated_[vm]) {
        continue;
      }
      GrantRequest request;
      request.server = base::ServerId("s1");
      request.term = base::Term(1);
      request.echo = now_;
      request.echoIncarnation = base::Incarnation(1);
      request.lifetime = timings().grantLifetime();
      request.shards = permit->shards;
      request.setDigest = permit->shards.digest();
      servers_[1].onGrant(request, now_);
    }
  }

  void check()
  {
    if (granted() && servers_[1].mayExecute(base::ShardId(0), now_)) {
      violation_ = "server and successor may both run the shard";
    }
    if (leases_[0].mayDispatch(now_) && leases_[1].mayDispatch(now_)) {
      violation_ = "two holders may dispatch";
    }
  }

  base::TimePoint now_{ std::chrono::seconds(10) };
  std::uint64_t generation_ = 1;
  std::array<std::uint64_t, 3> incarnations_{ 1, 1, 1 };
  std::array<BasicVoter<Rules>, 3> voters_;
  std::array<BasicServerLease<Rules>, 2> leases_;
  std::array<BasicGrantRegister<Rules>, 2> servers_{
    BasicGrantRegister<Rules>{ base::ServerId("s0"), base::Incarnation(1), now_ },
    BasicGrantRegister<Rules>{ base::ServerId("s1"), base::Incarnation(1), now_ }
  };
  std::array<bool, 2> serverCut_{};
  std::array<bool, 2> isolated_{};
  std::optional<std::string> violation_;
};

} // namespace sycamore::ownership::model

#include <test_cluster/HistoryChecker.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <unordered_map>

namespace sycamore::test_cluster {

namespace {

using Violations = std::vector<Violation>;
using ExecutionsById = std::unordered_map<std::string, std::vector<const Execution*>>;

constexpr std::size_t kMaxDescribed = 20;

std::string describeExecution(const Execution& execution)
{
  return execution.service + "/" + execution.method + " " + execution.requestId + " key " +
         execution.key.value_or("-") + " on " + execution.server + " term " +
         std::to_string(execution.term) + " from " + std::to_string(execution.startNs) + " to " +
         std::to_string(execution.endNs) + " " + execution.outcome;
}

std::string describeCall(const CallRecord& call)
{
  return call.service + "/" + call.method + " " + call.requestId + " attempt " +
         std::to_string(call.attempt) + " at " + call.address + " sent " +
         std::to_string(call.sentNs) + " answered " + std::to_string(call.receivedNs) + " " +
         call.outcome + " " + call.reason;
}

// Checks that committed executions of one key on two servers do not overlap.
void checkOwners(const std::vector<Execution>& executions, Violations& violations)
{
  // The committed execution with the latest end, by key and server. Executions are sorted by start,
  // so an earlier execution overlaps a later one if it ends after the later one starts.
  std::map<std::pair<std::string, std::string>, std::map<std::string, const Execution*>> latest;
  for (const Execution& execution : executions) {
    if (!execution.key || !execution.isCommitted()) {
      continue;
    }
    auto& servers = latest[{ execution.service, *execution.key }];
    for (const auto& [server, other] : servers) {
      if (server != execution.server && other->endNs > execution.startNs) {
        violations.push_back(
          { "I1", describeExecution(*other) + " overlaps " + describeExecution(execution) });
      }
    }
    const Execution*& own = servers[execution.server];
    if (own == nullptr || own->endNs < execution.endNs) {
      own = &execution;
    }
  }
}

// Checks that on one server no execution starts after an execution of a higher term.
void checkTerms(const std::vector<Execution>& executions, Violations& violations)
{
  std::map<std::pair<std::string, std::uint64_t>, const Execution*> highest;
  for (const Execution& execution : executions) {
    const Execution*& top = highest[{ execution.server, execution.incarnation }];
    if (top != nullptr && execution.term < top->term) {
      violations.push_back(
        { "I1", describeExecution(execution) + " starts after " + describeExecution(*top) });
    } else {
      top = &execution;
    }
  }
}

} // namespace

HistoryChecker::HistoryChecker(std::set<std::string> nonIdempotentMethods)
  : nonIdempotentMethods_(std::move(nonIdempotentMethods))
{
}

std::vector<Violation> HistoryChecker::check(std::vector<Execution> executions,
                                             const std::vector<CallRecord>& calls) const
{
  std::sort(executions.begin(), executions.end(), [](const Execution& a, const Execution& b) {
    return std::tie(a.startNs, a.seq) < std::tie(b.startNs, b.seq);
  });
  Violations violations;
  checkOwners(executions, violations);
  checkTerms(executions, violations);
  ExecutionsById byId;
  for (const Execution& execution : executions) {
    byId[execution.requestId].push_back(&execution);
  }
  for (const auto& [id, all] : byId) {
    const auto committed =
      std::count_if(all.begin(), all.end(), [](const auto* one) { return one->isCommitted(); });
    if (committed > 1 && nonIdempotentMethods_.contains(all.front()->method)) {
      violations.push_back(
        { "I7", describeExecution(*all.front()) + " and again " + describeExecution(*all.back()) });
    }
  }
  for (const CallRecord& call : calls) {
    if (!call.mismatch.empty()) {
      violations.push_back({ "I5", describeCall(call) + ": " + call.mismatch });
    }
    const auto found = byId.find(call.requestId);
    // An execution that started after this answer may belong to a resend. Executions are sorted by
    // start.
    if (call.isRefused() && found != byId.end() &&
        found->second.front()->startNs <= call.receivedNs) {
      violations.push_back(
        { "I6", describeCall(call) + " but " + describeExecution(*found->second.front()) });
    }
    if (call.isServed() && !call.requestId.empty() && found == byId.end()) {
      violations.push_back({ "I6", describeCall(call) + " but no server executed it" });
    }
  }
  return violations;
}

std::string describe(const std::vector<Violation>& violations)
{
  std::string text;
  for (std::size_t i = 0; i < std::min(violations.size(), kMaxDescribed); ++i) {
    text += violations[i].invariant + ": " + violations[i].text + "\n";
  }
  if (violations.size() > kMaxDescribed) {
    text += "and " + std::to_string(violations.size() - kMaxDescribed) + " more\n";
  }
  return text;
}

} // namespace sycamore::test_cluster

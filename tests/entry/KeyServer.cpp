#include "KeyServer.h"

#include <ServerTexts.h>

namespace sycamore::soak {

namespace {

constexpr double kPollInterval = 0.005;

} // namespace

KeyServer::KeyServer(std::string id, const std::string& journalPath, double drift)
  : id_(std::move(id))
  , drift_(drift)
  , journal_(journalPath)
  , holds_(kKeys)
  , seen_(kKeys)
{
}

void KeyServer::run()
{
  review::Listening listening("127.0.0.1", 0, [this](review::Channel& channel) { serve(channel); });
  journal_.write({ JournalEntry::Kind::Start, steadyNow(), listening.port() });
  for (;;) {
    review::sleepFor(kPollInterval);
    carryOutLateGrants();
  }
}

void KeyServer::serve(review::Channel& channel)
{
  review::Message request;
  while (channel.read(request)) {
    const std::string answer = handle(request, channel);
    if (answer.empty() || !channel.write(answer)) {
      return;
    }
  }
}

std::string KeyServer::handle(const review::Message& request, review::Channel& channel)
{
  using Kind = wire::testing::KeyCall::Kind;
  const std::string path = request.word(1);
  const auto call = wire::testing::keyCallOf(
    path, [&](const std::string& name) { return request.header(name); }, request.body);
  if (call.kind == Kind::Health) {
    return wire::testing::healthyAnswer(id_);
  }
  if (!call.server.empty() && call.server != id_) {
    return wire::testing::misdirectedAnswer(call.requestId);
  }
  if (call.kind == Kind::Grant) {
    return grant(call, request, channel);
  }
  return call.kind == Kind::Release ? release(call, channel) : work(call, path, channel);
}

std::string KeyServer::grant(const wire::testing::KeyCall& call,
                             const review::Message& request,
                             const review::Channel& channel)
{
  const std::string sentAt = request.header(kSentAtHeader);
  const std::string late = request.header(kLateHeader);
  {
    const std::lock_guard lock(mutex_);
    for (int key = call.from; key <= call.to; ++key) {
      if (seen_[static_cast<std::size_t>(key)] > call.fence) {
        return wire::testing::supersededAnswer();
      }
    }
    const Nanoseconds now = steadyNow();
    const Nanoseconds until = now + seconds(call.leaseSeconds * drift_);
    JournalEntry entry{ JournalEntry::Kind::Grant,
                        now,
                        call.from,
                        call.to,
                        call.fence,
                        until,
                        sentAt.empty() ? now : std::stoll(sentAt),
                        now,
                        request.header(kOriginHeader) };
    if (late.empty()) {
      for (int key = call.from; key <= call.to; ++key) {
        holds_[static_cast<std::size_t>(key)] = { call.fence, until };
        seen_[static_cast<std::size_t>(key)] = call.fence;
      }
      for (auto& [number, work] : works_) {
        if (work.key >= call.from && work.key <= call.to) {
          work.leaseUntil = std::max(work.leaseUntil, until);
        }
      }
      journal_.write(entry);
      return wire::testing::grantedAnswer();
    }
    lateGrants_.push_back({ entry, now + seconds(std::stod(late) / 1000) });
  }
  while (!channel.peerHasLeft()) {
    review::sleepFor(kPollInterval);
  }
  return "";
}

void KeyServer::carryOutLateGrants()
{
  const std::lock_guard lock(mutex_);
  const Nanoseconds now = steadyNow();
  for (LateGrant& grant : lateGrants_) {
    JournalEntry& entry = grant.entry;
    if (grant.dueAt > now || entry.until <= now) {
      continue;
    }
    for (int key = entry.from; key <= entry.to; ++key) {
      Hold& hold = holds_[static_cast<std::size_t>(key)];
      if (hold.until <= now) {
        hold = { entry.fence, entry.until };
      }
    }
    entry.appliedAt = now;
    journal_.write(entry);
  }
  std::erase_if(lateGrants_, [now](const LateGrant& grant) { return grant.dueAt <= now; });
}

std::string KeyServer::release(const wire::testing::KeyCall& call, const review::Channel& channel)
{
  {
    const std::lock_guard lock(mutex_);
    for (int key = call.from; key <= call.to; ++key) {
      Hold& hold = holds_[static_cast<std::size_t>(key)];
      if (hold.fence <= call.fence) {
        hold.until = 0;
      }
      auto& seen = seen_[static_cast<std::size_t>(key)];
      seen = std::max(seen, call.fence);
    }
    journal_.write({ JournalEntry::Kind::Release, steadyNow(), call.from, call.to, call.fence });
  }
  while (isWorkingOn(call.from, call.to) && !channel.peerHasLeft()) {
    review::sleepFor(kPollInterval);
  }
  return wire::testing::releasedAnswer(std::to_string(call.fence) + id_);
}

bool KeyServer::isWorkingOn(int from, int to)
{
  const std::lock_guard lock(mutex_);
  return std::any_of(works_.begin(), works_.end(), [&](const auto& entry) {
    return entry.second.key >= from && entry.second.key <= to;
  });
}

// Works for the milliseconds that the last part of the path names, while the lease lasts.
std::string KeyServer::work(const wire::testing::KeyCall& call,
                            const std::string& path,
                            const review::Channel& channel)
{
  const Nanoseconds endsAt =
    steadyNow() + seconds(std::stod("0" + path.substr(path.rfind('/') + 1)) / 1000);
  std::uint64_t number = 0;
  JournalEntry entry{ JournalEntry::Kind::WorkBegin, 0, call.from, call.to };
  entry.origin = call.requestId;
  {
    const std::lock_guard lock(mutex_);
    entry.at = steadyNow();
    if (call.from < 0 || call.from >= kKeys ||
        holds_[static_cast<std::size_t>(call.from)].until <= entry.at) {
      return wire::testing::misdirectedAnswer(call.requestId);
    }
    const Hold& hold = holds_[static_cast<std::size_t>(call.from)];
    entry.fence = hold.fence;
    number = ++lastWork_;
    works_[number] = { call.from, hold.until };
    journal_.write(entry);
  }
  bool isLeaseOver = false;
  while (steadyNow() < endsAt && !isLeaseOver && !channel.peerHasLeft()) {
    review::sleepFor(kPollInterval);
    const std::lock_guard lock(mutex_);
    isLeaseOver = steadyNow() >= works_[number].leaseUntil;
  }
  const std::lock_guard lock(mutex_);
  works_.erase(number);
  entry.kind = JournalEntry::Kind::WorkEnd;
  entry.at = steadyNow();
  journal_.write(entry);
  return wire::testing::validAnswer(call.requestId, "done", "", isLeaseOver ? 500 : 200);
}

} // namespace sycamore::soak

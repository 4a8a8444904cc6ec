#include "OwnershipCheck.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace sycamore::soak {

namespace {

using Kind = JournalEntry::Kind;

constexpr Nanoseconds kMaxOverlap = seconds(0.5);
// An entry VM gives up a call after this time. What a grant lasts longer because it arrived later
// than that isn't the VM's fault.
constexpr Nanoseconds kCallTimeout = seconds(0.3);
// Grants that arrive within this time after their sender was resumed don't count.
constexpr Nanoseconds kResumeSlack = seconds(0.3);

struct Span
{
  Nanoseconds begin = 0;
  Nanoseconds end = 0;
};

// Grant after which a life held a key that it hadn't held.
struct Take
{
  Nanoseconds at = 0;
  std::uint64_t fence = 0;
};

// History of one key at one life.
struct KeyHistory
{
  std::vector<Span> holds;
  std::vector<Take> takes;
  // All grants that were taken.
  std::vector<Take> grants;
  // Work, from its begin to its end or that of its lease.
  std::vector<Span> works;
};

class Checker
{
public:
  Checker(const std::vector<LifeJournal>& lives, const Resumptions& resumptions, Nanoseconds began)
    : lives_(lives)
    , resumptions_(resumptions)
    , began_(began)
  {
  }

  OwnershipReport run()
  {
    count();
    std::set<int> starts;
    for (const LifeJournal& life : lives_) {
      for (const JournalEntry& entry : life.entries) {
        if (entry.kind != Kind::Start) {
          starts.insert(entry.from);
          starts.insert(entry.to + 1);
        }
      }
    }
    for (const int key : starts) {
      checkKey(key);
    }
    return std::move(report_);
  }

private:
  void count()
  {
    for (const LifeJournal& life : lives_) {
      for (const JournalEntry& entry : life.entries) {
        report_.grants += entry.kind == Kind::Grant;
        report_.releases += entry.kind == Kind::Release;
        report_.works += entry.kind == Kind::WorkBegin;
        report_.heldUpGrants += entry.kind == Kind::Grant && isHeldUp(entry);
      }
    }
  }

  static bool isHeldUp(const JournalEntry& grant) { return grant.at > grant.sentAt + kCallTimeout; }

  bool isExcused(const JournalEntry& grant) const
  {
    const auto times = resumptions_.find(grant.origin);
    return times != resumptions_.end() &&
           std::ranges::any_of(times->second, [&](Nanoseconds resumedAt) {
             return grant.at >= resumedAt && grant.at <= resumedAt + kResumeSlack;
           });
  }

  // End of a grant as it would be had the call arrived in time.
  static Nanoseconds countedEnd(const JournalEntry& grant)
  {
    return grant.until - std::max<Nanoseconds>(0, grant.at - grant.sentAt - kCallTimeout);
  }

  KeyHistory historyOf(const LifeJournal& life, int key) const
  {
    KeyHistory result;
    // End of the hold in progress and of the lease under which work runs.
    Nanoseconds until = 0;
    Nanoseconds leaseUntil = 0;
    std::uint64_t fence = 0;
    std::map<std::string, std::size_t> works;
    for (const JournalEntry& entry : life.entries) {
      if (entry.kind == Kind::Start || entry.from > key || entry.to < key) {
        continue;
      }
      if (entry.kind == Kind::Grant && !isExcused(entry)) {
        const Nanoseconds at = entry.appliedAt;
        const Nanoseconds end = std::min(countedEnd(entry), life.endedAt);
        const bool isHeld = until > at;
        if (end <= at || (isHeld && entry.appliedAt > entry.at)) {
          continue;
        }
        if (isHeld) {
          result.holds.back().end = std::max(until, end);
        } else {
          result.holds.push_back({ at, end });
          if (!isHeldUp(entry)) {
            result.takes.push_back({ entry.at, entry.fence });
          }
        }
        result.grants.push_back({ entry.at, entry.fence });
        until = std::max(until, end);
        leaseUntil = std::max(leaseUntil, end);
        fence = entry.fence;
        for (const auto& [id, index] : works) {
          result.works[index].end = leaseUntil;
        }
      } else if (entry.kind == Kind::Release && fence <= entry.fence && until > entry.at) {
        until = entry.at;
        result.holds.back().end = entry.at;
      } else if (entry.kind == Kind::WorkBegin) {
        works[entry.origin] = result.works.size();
        result.works.push_back({ entry.at, leaseUntil });
      } else if (entry.kind == Kind::WorkEnd && works.contains(entry.origin)) {
        Span& work = result.works[works[entry.origin]];
        work.end = std::min(work.end, entry.at);
        works.erase(entry.origin);
      }
    }
    return result;
  }

  void checkKey(int key)
  {
    std::vector<KeyHistory> histories;
    for (const LifeJournal& life : lives_) {
      histories.push_back(historyOf(life, key));
    }
    for (std::size_t i = 0; i < lives_.size(); ++i) {
      for (std::size_t j = 0; j < lives_.size(); ++j) {
        if (i < j) {
          checkHolds(key, i, j, histories[i], histories[j]);
        }
        if (i != j) {
          checkTakes(key, i, j, histories[i], histories[j]);
        }
      }
      report_.ownerChanges += histories[i].takes.size();
    }
  }

  void checkHolds(int key,
                  std::size_t left,
                  std::size_t right,
                  const KeyHistory& a,
                  const KeyHistory& b)
  {
    for (const Span& first : a.holds) {
      for (const Span& second : b.holds) {
        const Span both{ std::max(first.begin, second.begin), std::min(first.end, second.end) };
        if (both.end <= both.begin) {
          continue;
        }
        report_.longestOverlap = std::max(report_.longestOverlap, both.end - both.begin);
        if (both.end - both.begin > kMaxOverlap) {
          add("both held", key, left, right, both);
        }
        if (beginsWork(a, both) && beginsWork(b, both)) {
          add("both held and began work on", key, left, right, both);
        }
      }
    }
  }

  static bool beginsWork(const KeyHistory& history, const Span& span)
  {
    return std::ranges::any_of(history.works, [&](const Span& work) {
      return work.begin >= span.begin && work.begin < span.end;
    });
  }

  void checkTakes(int key,
                  std::size_t taker,
                  std::size_t other,
                  const KeyHistory& taking,
                  const KeyHistory& others)
  {
    // The platform doesn't count the same grant to a server that was restarted at its address:
    // calls name the id only, and its entry is new in the store a moment later.
    const bool isRestart =
      lives_[taker].id == lives_[other].id && lives_[taker].address == lives_[other].address;
    for (const Take& take : taking.takes) {
      for (const Take& grant : others.grants) {
        if (grant.at < take.at &&
            (grant.fence > take.fence || (grant.fence == take.fence && !isRestart))) {
          add("the first took, with a token not above the second's,",
              key,
              taker,
              other,
              { take.at, take.at });
        }
      }
      for (const Span& work : others.works) {
        if (work.begin < take.at && take.at < work.end) {
          add("the first took, while the second worked on it,",
              key,
              taker,
              other,
              { take.at, work.end });
        }
      }
    }
  }

  void add(const std::string& what, int key, std::size_t left, std::size_t right, const Span& span)
  {
    if (!reported_.insert({ what, left, right }).second) {
      return;
    }
    std::ostringstream text;
    text << lives_[left].name << " and " << lives_[right].name << ": " << what << " key " << key
         << " for " << (span.end - span.begin) / 1'000'000 << " ms, from "
         << static_cast<double>(span.begin - began_) / kSecond << " s on (steady_ms "
         << span.begin / 1'000'000 << ")";
    report_.violations.push_back(text.str());
  }

  const std::vector<LifeJournal>& lives_;
  const Resumptions& resumptions_;
  Nanoseconds began_;
  OwnershipReport report_;
  std::set<std::tuple<std::string, std::size_t, std::size_t>> reported_;
};

} // namespace

OwnershipReport checkOwnership(const std::vector<LifeJournal>& lives,
                               const Resumptions& resumptions,
                               Nanoseconds runBeganAt)
{
  return Checker(lives, resumptions, runBeganAt).run();
}

} // namespace sycamore::soak

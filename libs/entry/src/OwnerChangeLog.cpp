#include <entry/OwnerChangeLog.h>

#include <dispatch/ServerIncarnations.h>

#include <map>
#include <string>
#include <utility>

namespace sycamore::entry {

namespace {

// Maximum number of ranges in one line of the log.
constexpr std::size_t kRangesPerLine = 32;

const char* nameOf(dispatch::KeysFreedBy freedBy)
{
  switch (freedBy) {
    case dispatch::KeysFreedBy::NoOwner:
      return "no owner before";
    case dispatch::KeysFreedBy::Release:
      return "release";
    case dispatch::KeysFreedBy::Expiry:
      return "grants expired";
    case dispatch::KeysFreedBy::ProcessEnd:
      return "process ended";
  }
  return "";
}

const char* nameOf(dispatch::LastGrant lastGrant)
{
  switch (lastGrant) {
    case dispatch::LastGrant::OfPredecessor:
      return "of a predecessor";
    case dispatch::LastGrant::Answered:
      return "answered";
    case dispatch::LastGrant::Unanswered:
      return "unanswered";
  }
  return "";
}

} // namespace

void logOwnerChanges(EventLog& log,
                     const std::vector<dispatch::OwnerChange>& changes,
                     std::uint64_t epoch,
                     base::TimePoint now)
{
  using dispatch::incarnationOf;
  std::map<std::pair<std::string, dispatch::KeysFreedBy>, nlohmann::json> lines;
  for (const dispatch::OwnerChange& change : changes) {
    const std::string previous = incarnationOf(change.previous.owner, change.previous.born);
    nlohmann::json& line = lines[{ previous, change.freedBy }];
    if (line.is_null()) {
      const auto freeFor =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - change.freedAt);
      line = { { "previous", previous },
               { "freed_by", nameOf(change.freedBy) },
               { "free_ms", freeFor.count() },
               { "last_grant", nameOf(change.lastGrant) },
               { "epoch", epoch },
               { "more_ranges", 0 } };
    }
    if (line["ranges"].size() < kRangesPerLine) {
      line["ranges"].push_back({ change.next.from,
                                 change.next.to,
                                 change.previous.fence,
                                 change.next.fence,
                                 incarnationOf(change.next.owner, change.next.born) });
    } else {
      line["more_ranges"] = line["more_ranges"].get<int>() + 1;
    }
  }
  for (auto& [key, line] : lines) {
    log.write("owner_changed", std::move(line));
  }
}

} // namespace sycamore::entry

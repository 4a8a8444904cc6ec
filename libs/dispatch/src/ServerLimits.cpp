#include <dispatch/ServerLimits.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Number of answers in a row without a limit that show its end.
constexpr unsigned kAnswersThatEndLimit = 2;
// Time after which a limit is forgotten that no answer has named since.
constexpr base::Duration kUnnamedTimeout = std::chrono::seconds(20);

} // namespace

bool ServerLimits::onAnswer(const ServerIncarnation& server,
                            std::optional<RequestLimit> limit,
                            base::TimePoint now)
{
  const auto found = entries_.find(server.id);
  const bool isKnown = found != entries_.end() && found->second.born == server.born;
  if (limit) {
    const bool isNews = !isKnown || found->second.limit != *limit;
    entries_[server.id] = { server.born, *limit, now, 0 };
    return isNews;
  }
  if (!isKnown || ++found->second.answersWithoutLimit < kAnswersThatEndLimit) {
    return false;
  }
  entries_.erase(found);
  return true;
}

bool ServerLimits::apply(const LimitedServersPage& page, base::TimePoint now)
{
  base::ServerId lastId = page.after;
  if (!page.servers.empty()) {
    lastId = std::max(lastId, page.servers.back().server.id);
  }
  const auto first = entries_.upper_bound(page.after);
  const auto end = page.isLast ? entries_.end() : entries_.upper_bound(lastId);
  const bool hasChanged = toList(first, end) != page.servers;
  entries_.erase(first, end);
  for (const LimitedServer& limited : page.servers) {
    entries_[limited.server.id] = { limited.server.born, limited.limit, now, 0 };
  }
  return hasChanged;
}

LimitedServersPage ServerLimits::nextPage(std::size_t maxServers)
{
  LimitedServersPage page;
  page.after = nextPageAfter_;
  auto entry = entries_.upper_bound(page.after);
  for (; entry != entries_.end() && page.servers.size() < maxServers; ++entry) {
    page.servers.push_back({ { entry->first, entry->second.born }, entry->second.limit });
  }
  page.isLast = entry == entries_.end();
  nextPageAfter_ = page.isLast ? base::ServerId() : page.servers.back().server.id;
  return page;
}

bool ServerLimits::expire(base::TimePoint now)
{
  return std::erase_if(entries_, [now](const auto& entry) {
           return now >= entry.second.namedAt + kUnnamedTimeout;
         }) > 0;
}

bool ServerLimits::retain(const std::map<base::ServerId, BackendServer>& registered)
{
  return std::erase_if(entries_, [&registered](const auto& entry) {
           const auto server = registered.find(entry.first);
           return server == registered.end() || server->second.born != entry.second.born;
         }) > 0;
}

std::optional<RequestLimit> ServerLimits::limitOf(const ServerIncarnation& server) const
{
  const auto found = entries_.find(server.id);
  if (found == entries_.end() || found->second.born != server.born) {
    return std::nullopt;
  }
  return found->second.limit;
}

std::vector<LimitedServer> ServerLimits::list() const
{
  return toList(entries_.begin(), entries_.end());
}

std::vector<LimitedServer> ServerLimits::toList(Entries::const_iterator first,
                                                Entries::const_iterator end)
{
  std::vector<LimitedServer> servers;
  for (; first != end; ++first) {
    servers.push_back({ { first->first, first->second.born }, first->second.limit });
  }
  return servers;
}

} // namespace sycamore::dispatch

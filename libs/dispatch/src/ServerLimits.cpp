#include <dispatch/ServerLimits.h>

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

bool ServerLimits::replace(const std::vector<LimitedServer>& servers, base::TimePoint now)
{
  if (servers == list()) {
    return false;
  }
  entries_.clear();
  for (const LimitedServer& limited : servers) {
    entries_[limited.server.id] = { limited.server.born, limited.limit, now, 0 };
  }
  return true;
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
  std::vector<LimitedServer> servers;
  for (const auto& [id, entry] : entries_) {
    servers.push_back({ { id, entry.born }, entry.limit });
  }
  return servers;
}

} // namespace sycamore::dispatch

#include <dispatch/DeletedObjects.h>

#include <algorithm>

namespace sycamore::dispatch {

namespace {

// Maximum number of remembered deletions. Outdated states are at most some seconds old.
constexpr std::size_t kMaxDeletions = 10000;

} // namespace

void DeletedObjects::onDeleted(const std::string& name, std::uint64_t revision)
{
  std::uint64_t& known = revisions_[name];
  names_.erase(known);
  known = std::max(known, revision);
  names_[known] = name;
  if (names_.size() > kMaxDeletions) {
    revisions_.erase(names_.begin()->second);
    names_.erase(names_.begin());
  }
}

void DeletedObjects::onListed(std::uint64_t revision)
{
  listedRevision_ = std::max(listedRevision_, revision);
  revisions_.clear();
  names_.clear();
}

bool DeletedObjects::isOutdated(const std::string& name, std::uint64_t revision) const
{
  const auto found = revisions_.find(name);
  return revision <= listedRevision_ || (found != revisions_.end() && revision <= found->second);
}

} // namespace sycamore::dispatch

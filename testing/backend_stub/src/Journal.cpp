#include "Journal.h"

#include <base/Error.h>

namespace sycamore::backend_stub {

using nlohmann::json;

Journal::Journal(std::uint64_t incarnation, const std::string& path)
  : incarnation_(incarnation)
  , file_(path.empty() ? nullptr : std::fopen(path.c_str(), "a"), &std::fclose)
{
  if (!path.empty() && file_ == nullptr) {
    throw base::Error("cannot open the journal file " + path);
  }
}

std::uint64_t Journal::start(const Work& work, base::TimePoint now)
{
  const std::lock_guard lock(mutex_);
  const std::uint64_t seq = entries_.size() + 1;
  entries_.push_back({ { "seq", seq },
                       { "request_id", work.requestId },
                       { "service", work.service },
                       { "method", work.method },
                       { "key", work.key ? json(*work.key) : json() },
                       { "shard", work.shard ? json(*work.shard) : json() },
                       { "term", work.term },
                       { "start_ns", now.time_since_epoch().count() },
                       { "end_ns", 0 },
                       { "incarnation", incarnation_ },
                       { "outcome", "running" } });
  append(entries_.back());
  return seq;
}

void Journal::finish(std::uint64_t seq, const std::string& outcome, base::TimePoint now)
{
  const std::lock_guard lock(mutex_);
  json& entry = entries_.at(seq - 1);
  entry["end_ns"] = now.time_since_epoch().count();
  entry["outcome"] = outcome;
  ++counts_[outcome];
  append(entry);
}

void Journal::append(const json& entry)
{
  if (file_ != nullptr) {
    const std::string line = entry.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    std::fwrite(line.data(), 1, line.size(), file_.get());
    std::fflush(file_.get());
  }
}

json Journal::entriesAfter(std::uint64_t seq) const
{
  const std::lock_guard lock(mutex_);
  json found = json::array();
  for (std::size_t i = seq; i < entries_.size(); ++i) {
    found.push_back(entries_[i]);
  }
  return found;
}

json Journal::counts() const
{
  const std::lock_guard lock(mutex_);
  return counts_;
}

} // namespace sycamore::backend_stub

#pragma once

#include "Work.h"

#include <base/Time.h>

#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sycamore::backend_stub {

// Records every execution that started, with its outcome ("running" until it ends). Refused
// requests are not executions. If there is a file, each start and end is also appended to it as a
// line of JSON, which survives a crash. Thread-safe.
class Journal
{
public:
  // An empty path means no file. Throws base::Error if the file cannot be opened.
  Journal(std::uint64_t incarnation, const std::string& path);

  // Returns the sequence number of the new entry.
  std::uint64_t start(const Work& work, base::TimePoint now);
  void finish(std::uint64_t seq, const std::string& outcome, base::TimePoint now);

  // Returns the entries with a sequence number above the given one, as a JSON array.
  nlohmann::json entriesAfter(std::uint64_t seq) const;

  // Returns the number of finished entries by outcome.
  nlohmann::json counts() const;

private:
  void append(const nlohmann::json& entry);

  const std::uint64_t incarnation_;
  mutable std::mutex mutex_;
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
  std::vector<nlohmann::json> entries_;
  std::map<std::string, std::uint64_t> counts_;
};

} // namespace sycamore::backend_stub

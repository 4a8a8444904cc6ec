#include "ServerJournal.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace sycamore::soak {

Nanoseconds steadyNow()
{
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

JournalWriter::JournalWriter(const std::string& path)
  : file_(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600))
{
  if (file_ < 0) {
    throw std::runtime_error("can't write the journal " + path);
  }
}

JournalWriter::~JournalWriter()
{
  close(file_);
}

void JournalWriter::write(const JournalEntry& entry) const
{
  std::ostringstream text;
  text << static_cast<char>(entry.kind) << ' ' << entry.at << ' ' << entry.from << ' ' << entry.to
       << ' ' << entry.fence << ' ' << entry.until << ' ' << entry.sentAt << ' ' << entry.appliedAt
       << ' ' << (entry.origin.empty() ? "-" : entry.origin) << '\n';
  const std::string line = text.str();
  if (::write(file_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
    throw std::runtime_error("can't write to the journal");
  }
}

std::vector<JournalEntry> readJournal(const std::string& path)
{
  std::vector<JournalEntry> result;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    std::istringstream text(line);
    JournalEntry entry;
    char kind = 0;
    if (text >> kind >> entry.at >> entry.from >> entry.to >> entry.fence >> entry.until >>
        entry.sentAt >> entry.appliedAt >> entry.origin) {
      entry.kind = static_cast<JournalEntry::Kind>(kind);
      result.push_back(entry);
    }
  }
  return result;
}

} // namespace sycamore::soak

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::soak {

// Nanoseconds of the machine's steady clock, which all processes of a run share.
using Nanoseconds = std::int64_t;

constexpr Nanoseconds kSecond = 1'000'000'000;

Nanoseconds steadyNow();
constexpr Nanoseconds seconds(double value)
{
  return static_cast<Nanoseconds>(value * static_cast<double>(kSecond));
}

// One event of a server's life. A grant that is carried out late is written then, with the time of
// its arrival as `at`.
struct JournalEntry
{
  enum class Kind : char
  {
    Start = 'S',
    Grant = 'G',
    Release = 'R',
    WorkBegin = 'B',
    WorkEnd = 'E'
  };

  Kind kind = Kind::Start;
  Nanoseconds at = 0;
  // First and last key; the port in an entry of kind Start.
  int from = 0;
  int to = 0;
  std::uint64_t fence = 0;
  // End of the grant by the server's clock.
  Nanoseconds until = 0;
  // Time when the proxy had the whole call.
  Nanoseconds sentAt = 0;
  Nanoseconds appliedAt = 0;
  // Address of the entry VM that sent the call, or the id of the request.
  std::string origin{};
};

// Appends to a journal with one write for each entry, so that a killed server loses none.
class JournalWriter
{
public:
  explicit JournalWriter(const std::string& path);
  ~JournalWriter();
  JournalWriter(const JournalWriter&) = delete;
  JournalWriter& operator=(const JournalWriter&) = delete;

  void write(const JournalEntry& entry) const;

private:
  int file_;
};

std::vector<JournalEntry> readJournal(const std::string& path);

} // namespace sycamore::soak

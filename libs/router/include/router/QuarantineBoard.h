#pragma once

#include <requests/Quarantine.h>

#include <mutex>

namespace sycamore::router {

// The quarantine of this VM, shared by traffic threads and the control thread. Safe from all
// threads.
class QuarantineBoard
{
public:
  explicit QuarantineBoard(requests::QuarantineSettings settings = {});

  requests::QuarantineDecision check(const requests::WorkIdentity& work) const;
  void noteCrash(const requests::CrashReport& crash);
  void noteCompleted(const requests::WorkIdentity& work);
  bool lift(const std::string& subject);
  std::vector<requests::QuarantineRecord> condemned() const;
  std::vector<requests::QuarantineRecord> records() const;
  void merge(const std::vector<requests::QuarantineRecord>& records);
  std::uint64_t digest() const;

private:
  mutable std::mutex mutex_;
  requests::Quarantine quarantine_;
};

// The host's calendar time.
requests::WallTime wallTime();

} // namespace sycamore::router

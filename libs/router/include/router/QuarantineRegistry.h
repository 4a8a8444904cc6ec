#pragma once

#include <requests/Quarantine.h>

#include <mutex>

namespace sycamore::router {

// The quarantine of this VM, shared by traffic threads and the control thread. Safe from all
// threads.
class QuarantineRegistry
{
public:
  explicit QuarantineRegistry(requests::QuarantineSettings settings = {});

  requests::QuarantineDecision check(const requests::WorkIdentity& work) const;
  void recordCrash(const requests::CrashReport& crash);
  void recordCompletion(const requests::WorkIdentity& work);
  bool lift(const std::string& subject);
  std::vector<requests::QuarantineRecord> quarantined() const;
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

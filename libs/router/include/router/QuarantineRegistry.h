#pragma once

#include <requests/Quarantine.h>

#include <mutex>

namespace sycamore::router {

// Thread-safe wrapper of this VM's quarantine, which traffic threads and the control thread share.
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

// Returns the host's calendar time.
requests::WallTime wallTime();

} // namespace sycamore::router

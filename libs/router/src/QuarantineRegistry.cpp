#include <router/QuarantineRegistry.h>

namespace sycamore::router {

using base::SteadyClock;

requests::WallTime wallTime()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

QuarantineRegistry::QuarantineRegistry(requests::QuarantineSettings settings)
  : quarantine_(settings)
{
}

requests::QuarantineDecision QuarantineRegistry::check(const requests::WorkIdentity& work) const
{
  std::lock_guard lock(mutex_);
  return quarantine_.check(work, SteadyClock().now());
}

void QuarantineRegistry::recordCrash(const requests::CrashReport& crash)
{
  std::lock_guard lock(mutex_);
  quarantine_.recordCrash(crash, SteadyClock().now(), wallTime());
}

void QuarantineRegistry::recordCompletion(const requests::WorkIdentity& work)
{
  std::lock_guard lock(mutex_);
  quarantine_.recordCompletion(work, SteadyClock().now(), wallTime());
}

bool QuarantineRegistry::lift(const std::string& subject)
{
  std::lock_guard lock(mutex_);
  return quarantine_.lift(subject, SteadyClock().now(), wallTime());
}

std::vector<requests::QuarantineRecord> QuarantineRegistry::quarantined() const
{
  std::lock_guard lock(mutex_);
  return quarantine_.quarantined(SteadyClock().now());
}

std::vector<requests::QuarantineRecord> QuarantineRegistry::records() const
{
  std::lock_guard lock(mutex_);
  return quarantine_.records(SteadyClock().now());
}

void QuarantineRegistry::merge(const std::vector<requests::QuarantineRecord>& records)
{
  std::lock_guard lock(mutex_);
  quarantine_.merge(records, SteadyClock().now());
}

std::uint64_t QuarantineRegistry::digest() const
{
  std::lock_guard lock(mutex_);
  return quarantine_.digest(SteadyClock().now());
}

} // namespace sycamore::router

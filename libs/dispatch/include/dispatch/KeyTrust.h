#pragma once

#include <base/Time.h>

#include <optional>

namespace sycamore::dispatch {

// Decides what an entry VM may still conclude from its copy of the keys. `currentAt` is the time up
// to which the copy is shown to hold all changes, on a clock that counts suspensions.
class KeyTrust
{
public:
  // `withdrawal`: see EntrySettings::keyWithdrawal.
  explicit KeyTrust(std::optional<base::Duration> withdrawal);

  // Returns whether requests may run by a key that the copy holds.
  bool mayAccept(base::TimePoint currentAt, base::TimePoint now) const;

  // Returns whether a key that the copy lacks may be called unknown.
  bool mayReject(base::TimePoint currentAt, base::TimePoint now) const;

private:
  // Age of the copy from which on its keys aren't used.
  std::optional<base::Duration> maxAge_;
};

} // namespace sycamore::dispatch

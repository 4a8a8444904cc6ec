#pragma once

#include <base/Time.h>

#include <algorithm>

namespace sycamore::dispatch {

// Pauses the opening of connections to a server that resets new ones because it has too many.
// Connections that are open already stay in use meanwhile.
class ConnectionBackoff
{
public:
  // The server reset a new connection before anything was sent on it.
  void onReset(base::TimePoint now)
  {
    if (now < resumesAt_) {
      // One of several connections that were opened at the same time.
      return;
    }
    const bool pauseWasShort = !openedSinceReset_ && now < resumesAt_ + kMemory;
    doublings_ = pauseWasShort ? std::min(doublings_ + 1, kMaxDoublings) : 0;
    openedSinceReset_ = false;
    resumesAt_ = now + kFirstPause * (1 << doublings_);
  }

  // A request was sent on a new connection.
  void onOpened() { openedSinceReset_ = true; }

  bool mayOpen(base::TimePoint now) const { return now >= resumesAt_; }

private:
  // About the time in which a server with a long queue ends some requests.
  static constexpr base::Duration kFirstPause = base::milliseconds(60);
  static constexpr int kMaxDoublings = 3;
  // Time after a pause within which another reset means that the pause was too short.
  static constexpr base::Duration kMemory = std::chrono::seconds(1);

  int doublings_ = 0;
  bool openedSinceReset_ = false;
  base::TimePoint resumesAt_{};
};

} // namespace sycamore::dispatch

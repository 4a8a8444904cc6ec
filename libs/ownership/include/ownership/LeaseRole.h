#pragma once

namespace sycamore::ownership {

// Role of an entry VM in the lease of one server.
enum class LeaseRole
{
  Watching,  // another VM holds the lease, or none does
  Proposing, // requests votes for a new term
  Active,    // holds the lease and grants the server its shards
  Evicting,  // holds the lease, requests votes for Evicted, no longer grants anything
  Evicted    // holds the lease and gives permits
};

} // namespace sycamore::ownership

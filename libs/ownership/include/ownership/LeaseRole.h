#pragma once

namespace sycamore::ownership {

enum class LeaseRole
{
  Watching,  // another VM holds the tenancy, or none does
  Proposing, // asks for votes for a new term
  Active,    // holds the tenancy and grants the server its shards
  Evicting,  // holds the tenancy, asks for votes for Evicted, grants nothing any more
  Evicted    // holds the tenancy and gives permits
};

} // namespace sycamore::ownership

#pragma once

#include <base/Ids.h>

#include <string>

namespace sycamore::placement {

// Leaving and Lost servers lose their shards. Cold servers keep theirs and receive only what
// ServerView::warmth allows.
enum class ServerState
{
  Live,
  Cold,
  Leaving,
  Lost
};

// The current state of a backend server as the entry VMs see it.
struct ServerView
{
  base::ServerId id;
  std::string address;
  base::DomainId domain;
  ServerState state = ServerState::Live;
  // Relative to other servers of the service, for example the number of its slots. Above 0.
  double capacity = 1.0;
  // Fraction of the capacity that a cold server can take, 0 to 1; ignored in other states.
  double warmth = 0.1;
};

} // namespace sycamore::placement

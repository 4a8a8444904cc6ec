#pragma once

#include "OwnershipCheck.h"
#include "OwnershipCoordinators.h"
#include "OwnershipDraws.h"
#include "OwnershipServers.h"

#include <string>

namespace sycamore::dispatch {

// Plays one random sequence of events against KeyCoordinator with a manual clock: servers crash,
// start again under their id, pause, drain, answer late or not at all and carry grants out late;
// coordinators stall, are cut off from the store, and are replaced. Further kinds of events can be
// drawn besides. All events follow from the seed and the kinds.
class OwnershipModel
{
public:
  explicit OwnershipModel(std::uint64_t seed,
                          DeliberateFault fault = DeliberateFault::None,
                          OwnershipDraws kinds = {});

  // Plays the sequence. Returns the broken promise; empty if all were kept.
  std::string play();

  // Returns what the play has broken.
  const OwnershipCheck& check() const { return check_; }

private:
  void step();

  OwnershipPlay play_;
  CoordinatorSettings settings_;
  OwnershipCheck check_;
  OwnershipServers servers_;
  OwnershipCoordinators coordinators_;
};

} // namespace sycamore::dispatch

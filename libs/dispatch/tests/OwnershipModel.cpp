#include "OwnershipModel.h"

namespace sycamore::dispatch {

namespace {

constexpr base::Duration kDisturbedTime = std::chrono::seconds(30);
// Time for which nothing is disturbed at the end, and its last part in which all ranges must have
// had an owner at once at some moment. Planned moves go on until the end.
constexpr base::Duration kCalmTime = std::chrono::seconds(16);
constexpr base::Duration kAllOwnedWithin = std::chrono::seconds(10);
constexpr std::uint64_t kExtraDraws = 0x9e3779b97f4a7c15;

CoordinatorSettings settingsFor(const OwnershipDraws& kinds)
{
  CoordinatorSettings settings;
  // The model has few servers, and its hot keys are to be spread too.
  settings.placement.minServersToSpread = 1;
  if (kinds.contains(OwnershipDraw::LateGrant) || kinds.contains(OwnershipDraw::LargeFleet)) {
    // Few ranges, so that split ones are soon merged.
    settings.placement.rangesPerServer = 2;
  }
  return settings;
}

} // namespace

OwnershipModel::OwnershipModel(std::uint64_t seed, DeliberateFault fault, OwnershipDraws kinds)
  : play_{ std::move(kinds), fault, RandomDraws(seed), RandomDraws(seed ^ kExtraDraws), {}, false }
  , settings_(settingsFor(play_.kinds))
  , check_(play_.clock)
  , servers_(play_, check_, settings_.grantDuration)
  , coordinators_(play_, servers_, settings_)
{
}

std::string OwnershipModel::play()
{
  const base::TimePoint calmAt = play_.clock.now() + kDisturbedTime;
  const base::TimePoint endsAt = calmAt + kCalmTime;
  base::TimePoint allOwnedAt{};
  while (play_.clock.now() < endsAt && !check_.isDecided()) {
    if (!play_.isCalm && play_.clock.now() >= calmAt) {
      play_.isCalm = true;
      coordinators_.calmDown();
      servers_.calmDown();
    }
    step();
    if (coordinators_.unownedRanges() == 0U) {
      allOwnedAt = play_.clock.now();
    }
  }
  if (!check_.isBroken() && allOwnedAt + kAllOwnedWithin < play_.clock.now()) {
    const std::size_t unowned = coordinators_.unownedRanges().value_or(0);
    check_.report(OwnershipBreach::NoOwner, std::to_string(unowned) + " ranges without an owner");
  }
  return check_.text();
}

void OwnershipModel::step()
{
  play_.clock.advance(kModelStep);
  if (!play_.isCalm) {
    servers_.disturb();
    coordinators_.disturb();
  }
  servers_.step();
  coordinators_.step();
  check_.step();
}

} // namespace sycamore::dispatch

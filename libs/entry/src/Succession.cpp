#include <entry/Succession.h>

namespace sycamore::entry {

namespace {

// Number of successors of the coordinator that aren't on standby, and the number of entry VMs from
// which on others are.
constexpr unsigned kWatchfulSuccessors = 8;
constexpr std::size_t kMinVmsWithStandby = 24;

} // namespace

Succession::Succession(base::TimePoint now)
  : election_({}, now)
  , lastHeartbeatAt_(now)
{
}

void Succession::onHeartbeat(const HeartbeatMessage& message, base::TimePoint now)
{
  lastHeartbeatAt_ = now;
  rank_ = message.rank;
  election_.onHeartbeat(message.heartbeat, now);
}

bool Succession::isStandby(std::size_t entryVms) const
{
  return entryVms > kMinVmsWithStandby && rank_ >= kWatchfulSuccessors;
}

} // namespace sycamore::entry

#pragma once

#include <base/Ids.h>

#include <optional>
#include <string_view>

namespace sycamore::placement {

// Reason why a shard changes its owner, most urgent first.
enum class MoveReason
{
  ServerLost,
  ServerLeaving,
  DomainOut,
  KeyCooled,
  Fill,
  Balance
};

// "server-lost", "server-leaving", "domain-out", "key-cooled", "fill" or "balance".
std::string_view toString(MoveReason reason);

// A change of a shard's owner, with the successor that the same map write records.
struct Move
{
  base::ShardId shard;
  base::ServerId from;
  base::ServerId to;
  std::optional<base::ServerId> successor;
  MoveReason reason = MoveReason::Balance;

  friend bool operator==(const Move&, const Move&) = default;
};

} // namespace sycamore::placement

#pragma once

#include <base/Time.h>
#include <ownership/HolderId.h>
#include <ownership/ShardSet.h>

#include <cstdint>
#include <optional>

namespace sycamore::ownership {

// Grants a backend server its shards. Without an echo it only asks for the server's time.
struct GrantRequest
{
  base::ServerId server;
  HolderId holder;
  base::Term term;
  base::Generation generation;
  // The newest timestamp of the server, with the run of the server that gave it: after a reboot
  // the same reading may come up again.
  std::optional<base::TimePoint> echo;
  base::Incarnation echoIncarnation;
  base::Duration lifetime{};
  std::uint64_t setDigest = 0;
  // Absent if the server has last accepted a set of the same digest.
  std::optional<ShardSet> shards;
};

} // namespace sycamore::ownership

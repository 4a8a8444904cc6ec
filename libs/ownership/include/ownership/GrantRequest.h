#pragma once

#include <base/Time.h>
#include <ownership/HolderId.h>
#include <ownership/ShardSet.h>

#include <cstdint>
#include <optional>

namespace sycamore::ownership {

// Grants a backend server its shards. Without an echo it grants nothing and only asks for the
// server's time.
struct GrantRequest
{
  base::ServerId server;
  HolderId holder;
  base::Term term;
  base::Generation generation;
  // The newest timestamp received from the server, with the incarnation that sent it: after a
  // reboot the server's clock may show the same reading again.
  std::optional<base::TimePoint> echo;
  base::Incarnation echoIncarnation;
  base::Duration lifetime{};
  std::uint64_t setDigest = 0;
  // Absent if the set that the server accepted last has the same digest.
  std::optional<ShardSet> shards;
};

} // namespace sycamore::ownership

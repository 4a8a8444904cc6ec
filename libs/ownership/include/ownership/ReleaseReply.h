#pragma once

#include <base/Ids.h>

#include <cstdint>

namespace sycamore::ownership {

// Answers a ReleaseRequest. If released is false, executions are still running or the term is
// stale; the request is then to be repeated.
struct ReleaseReply
{
  base::ServerId server;
  base::Term term;
  std::uint64_t id = 0;
  bool released = false;
};

} // namespace sycamore::ownership

#pragma once

namespace sycamore::ownership {

// Active: the server serves its shards. Evicted: its successors serve them under permits.
enum class LeaseKind
{
  Active,
  Evicted
};

} // namespace sycamore::ownership

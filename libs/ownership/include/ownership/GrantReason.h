#pragma once

namespace sycamore::ownership {

// Result of a grant request: accepted, or why the server refused it.
enum class GrantReason
{
  Accepted,
  StaleTerm,     // the server knows a higher term, or another holder of this term
  NoEcho,        // the request echoes no timestamp of this incarnation of the server
  Expired,       // the echoed timestamp is too old
  OutOfOrder,    // a grant with a newer echo has already been accepted
  UnknownDigest, // the shard set is omitted and its digest is not that of the last accepted set
  Refused        // the server accepts no grants at present
};

} // namespace sycamore::ownership

#pragma once

namespace sycamore::ownership {

// Why a server accepted or refused a grant.
enum class GrantReason
{
  Accepted,
  StaleTerm,     // a higher term, or another holder of this term, is known
  NoEcho,        // no timestamp of this run of the server
  Expired,       // the echoed timestamp is too old
  OutOfOrder,    // a grant with a newer echo was accepted before
  UnknownDigest, // the set was omitted, and its digest is not the last accepted one
  Refused        // the server takes no grants now
};

} // namespace sycamore::ownership

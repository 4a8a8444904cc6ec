#pragma once

#include <entry/ServerConnection.h>

#include <dispatch/KeyCoordinator.h>

#include <optional>
#include <string>

namespace sycamore::entry {

// Returns what a server's answer to a grant means. Grants carry no id, so that on a connection that
// carried other calls before, a late second copy of an earlier answer may be taken for it. A wrong
// claim that the server's process has ended would free all its keys: it counts only on a connection
// that carried no other call, where another process can answer at all.
dispatch::GrantAnswer grantAnswerOf(const ExchangeResult& result);

// Returns what a server's answer to a release means. Only an answer on a connection that carried no
// other call counts: a late copy of an earlier one would free keys on which the server still works.
dispatch::ReleaseAnswer releaseAnswerOf(const ExchangeResult& result);

} // namespace sycamore::entry

#pragma once

namespace sycamore::ctl {

// Exit statuses of sycamorectl; scripts depend on them.
enum class ExitStatus
{
  Ok = 0,
  // A call to a server that was reached failed or was refused, or its outcome is in doubt.
  Failed = 1,
  // The command line is wrong; nothing was sent.
  Usage = 2,
  // Another change was stored first; nothing was changed.
  Conflict = 3,
  // No server could be reached.
  Unreachable = 4
};

} // namespace sycamore::ctl

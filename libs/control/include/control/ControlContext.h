#pragma once

#include <base/Ids.h>
#include <control/ControlCounters.h>
#include <control/ControlIo.h>
#include <membership/MemberTable.h>
#include <ownership/HolderId.h>

#include <functional>
#include <string>

namespace sycamore::control {

// What the parts of the control state share. Everything outlives them; used on the control thread.
struct ControlContext
{
  ownership::HolderId self;
  base::DomainId domain;
  std::string peerAddress;
  std::string platformAddress;
  ControlIo& io;
  membership::MemberTable& members;
  ControlCounters& counters;
  // Writes one line about a change of state to the log.
  std::function<void(const std::string& line)> log;

  base::TimePoint now() const { return base::SteadyClock().now(); }
};

} // namespace sycamore::control

#pragma once

#include <base/Ids.h>
#include <control/ControlCounters.h>
#include <control/ControlIo.h>
#include <membership/MemberTable.h>
#include <ownership/HolderId.h>

#include <functional>
#include <string>

namespace sycamore::control {

// Dependencies shared by the controllers of the control state. The referenced objects outlive the
// controllers. Used by the control thread only.
struct ControlContext
{
  ownership::HolderId self;
  base::DomainId domain;
  std::string peerAddress;
  std::string platformAddress;
  ControlIo& io;
  membership::MemberTable& members;
  ControlCounters& counters;
  // Logs one line about a change of state.
  std::function<void(const std::string& line)> log;

  base::TimePoint now() const { return base::SteadyClock().now(); }
};

} // namespace sycamore::control

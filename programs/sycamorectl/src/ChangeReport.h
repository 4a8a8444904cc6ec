#pragma once

#include "ExitStatus.h"
#include "Output.h"

#include <nlohmann/json.hpp>

#include <string>

namespace sycamore::ctl {

// Prints a ChangeReply and what to do next. `how` names the command that shows the object, for the
// advice after a conflict.
ExitStatus reportChange(Output& output, const nlohmann::json& reply, const std::string& how);

} // namespace sycamore::ctl

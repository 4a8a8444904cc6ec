#pragma once

#include "ExitStatus.h"
#include "Output.h"

#include <nlohmann/json.hpp>

#include <string>

namespace sycamore::ctl {

// Prints a ChangeReply and what to do next, and returns the exit status for its outcome.
// `showCommand` is the command that shows the object, for the advice after a conflict or a change
// in doubt.
ExitStatus reportChange(Output& output,
                        const nlohmann::json& reply,
                        const std::string& showCommand);

} // namespace sycamore::ctl

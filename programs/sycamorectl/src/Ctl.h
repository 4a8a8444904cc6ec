#pragma once

#include "ExitStatus.h"

#include <ostream>
#include <string>
#include <vector>

namespace sycamore::ctl {

// Runs sycamorectl with the arguments after the program's name. Results go to `out`, messages to
// `err`. Sets Abseil flags, so it can't run in two threads at once.
ExitStatus runCtl(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

} // namespace sycamore::ctl

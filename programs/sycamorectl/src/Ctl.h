#pragma once

#include "ExitStatus.h"

#include <ostream>
#include <string>
#include <vector>

namespace sycamore::ctl {

// Runs sycamorectl with the arguments after the program's name. Results go to `out`, messages to
// `err`. Sets the global Abseil flags, so only one thread may run it at a time.
ExitStatus runCtl(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

} // namespace sycamore::ctl

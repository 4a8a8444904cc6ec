#pragma once

#include <stdexcept>

namespace sycamore::base {

// Root of all errors of the workspace. Each library derives its own type and turns errors of the
// libraries below into it.
class Error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace sycamore::base

#pragma once

#include <stdexcept>

namespace sycamore::base {

// Base class of all exceptions of this project. Each library derives its own type and converts
// exceptions of the libraries it uses into that type.
class Error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace sycamore::base

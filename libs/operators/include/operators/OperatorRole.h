#pragma once

#include <string>

namespace sycamore::operators {

// Calls that a token permits. Change includes ReadOnly.
enum class OperatorRole
{
  ReadOnly,
  Change
};

// An operator's token from the daemon's settings. The name appears in logs, the token never does.
struct OperatorToken
{
  std::string name;
  std::string token;
  OperatorRole role = OperatorRole::ReadOnly;
};

} // namespace sycamore::operators

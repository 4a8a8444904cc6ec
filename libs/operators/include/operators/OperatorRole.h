#pragma once

#include <string>

namespace sycamore::operators {

// What a token permits. Change includes ReadOnly.
enum class OperatorRole
{
  ReadOnly,
  Change
};

// One token of the daemon's settings. The name appears in logs, the token never does.
struct OperatorToken
{
  std::string name;
  std::string token;
  OperatorRole role = OperatorRole::ReadOnly;
};

} // namespace sycamore::operators

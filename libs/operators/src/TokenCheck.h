#pragma once

#include <operators/OperatorRole.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::operators {

// Finds the operator that a call's authorization belongs to.
class TokenCheck
{
public:
  // Throws OperatorError for tokens shorter than 16 bytes, which could be guessed, and for tokens
  // that occur twice.
  TokenCheck(std::vector<OperatorToken> tokens, bool allowAnonymousCalls);

  // `authorization` is the text after "authorization:", empty if there was none. Nothing if the
  // caller isn't known.
  std::optional<OperatorToken> identify(std::string_view authorization) const;

private:
  std::vector<OperatorToken> tokens_;
  bool allowAnonymousCalls_;
};

} // namespace sycamore::operators

#pragma once

#include <operators/OperatorRole.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::operators {

// Identifies the operator of a call by the token that the call carries.
class TokenAuthenticator
{
public:
  // Throws OperatorError for tokens shorter than 16 bytes, which could be guessed, and for a token
  // that belongs to two operators.
  TokenAuthenticator(std::vector<OperatorToken> tokens, bool allowAnonymousCalls);

  // Returns the operator's entry, or nothing if the token is unknown or missing. `authorization` is
  // the value of the metadata entry "authorization", empty if the call has none. If anonymous calls
  // are allowed, a call without the entry gets a nameless entry with the role Change.
  std::optional<OperatorToken> authenticate(std::string_view authorization) const;

private:
  std::vector<OperatorToken> tokens_;
  bool allowAnonymousCalls_;
};

} // namespace sycamore::operators

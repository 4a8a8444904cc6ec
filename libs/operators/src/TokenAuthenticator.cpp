#include "TokenAuthenticator.h"

#include <operators/OperatorError.h>

#include <set>

namespace sycamore::operators {

namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr std::size_t kMinTokenBytes = 16;

// Compares in a time that doesn't depend on where the texts differ. Otherwise response times would
// reveal a token byte by byte.
bool equalInConstantTime(std::string_view left, std::string_view right)
{
  if (left.size() != right.size()) {
    return false;
  }
  unsigned char difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference = static_cast<unsigned char>(difference | (left[i] ^ right[i]));
  }
  return difference == 0;
}

} // namespace

TokenAuthenticator::TokenAuthenticator(std::vector<OperatorToken> tokens, bool allowAnonymousCalls)
  : tokens_(std::move(tokens))
  , allowAnonymousCalls_(allowAnonymousCalls)
{
  std::set<std::string_view> seen;
  for (const OperatorToken& token : tokens_) {
    if (token.token.size() < kMinTokenBytes) {
      throw OperatorError(OperatorErrorCode::InvalidArgument,
                          "token of \"" + token.name + "\" is shorter than 16 bytes");
    }
    if (!seen.insert(token.token).second) {
      throw OperatorError(OperatorErrorCode::InvalidArgument,
                          "token of \"" + token.name + "\" is also the token of another operator");
    }
  }
}

std::optional<OperatorToken> TokenAuthenticator::authenticate(std::string_view authorization) const
{
  if (authorization.empty()) {
    return allowAnonymousCalls_ ? std::optional(OperatorToken{ "", "", OperatorRole::Change })
                                : std::nullopt;
  }
  if (!authorization.starts_with(kScheme)) {
    return std::nullopt;
  }
  authorization.remove_prefix(kScheme.size());
  std::optional<OperatorToken> found;
  for (const OperatorToken& token : tokens_) {
    if (equalInConstantTime(token.token, authorization)) {
      found = token;
    }
  }
  return found;
}

} // namespace sycamore::operators

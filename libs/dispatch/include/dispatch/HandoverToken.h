#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sycamore::dispatch {

// Token of a server's answer to the release of keys, which the next owner of the keys gets with its
// grant. Holds only text that can be passed on.
class HandoverToken
{
public:
  // Why a text can't be a token.
  enum class Defect
  {
    None,
    // It has more than kMaxBytes.
    TooLong,
    // It isn't valid UTF-8, or has control characters.
    NotText
  };

  // A token is kept for each range of keys and sent with each grant.
  static constexpr std::size_t kMaxBytes = 4096;

  // No token.
  HandoverToken() = default;
  // The token with this text; none if the text has a defect.
  explicit HandoverToken(std::string_view text);

  static Defect defectOf(std::string_view text);

  // Returns the text, empty if there is no token.
  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }

private:
  std::string text_;
};

// Returns what is wrong with a token, for the log.
const char* describe(HandoverToken::Defect defect);

} // namespace sycamore::dispatch

#include <dispatch/HandoverToken.h>

#include <doctest/doctest.h>

using namespace sycamore::dispatch;
using Defect = HandoverToken::Defect;

// Guards against a token that can't be written to the next owner, or takes too much memory.
TEST_CASE("a token holds valid text of bounded length, or nothing")
{
  CHECK(HandoverToken("5c0e7a21d94b36f8").text() == "5c0e7a21d94b36f8");
  CHECK(HandoverToken("a b\xc3\xa9").text() == "a b\xc3\xa9");
  for (const char* const text : { "\xb5", "x\xc3", "\xc0\x80", "\xed\xa0\x80", "a\tb", "\x7f" }) {
    CHECK(HandoverToken::defectOf(text) == Defect::NotText);
    CHECK(HandoverToken(text).empty());
  }
  const std::string longest(HandoverToken::kMaxBytes, 'x');
  CHECK(HandoverToken(longest).text() == longest);
  CHECK(HandoverToken::defectOf(longest + 'x') == Defect::TooLong);
  CHECK(HandoverToken(longest + 'x').empty());
}

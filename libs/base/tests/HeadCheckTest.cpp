#include <base/HeadCheck.h>

#include <base_testing/FaultyHeads.h>
#include <doctest/doctest.h>

#include <cctype>

using namespace sycamore;
using namespace sycamore::base;

namespace {

HeadFault faultOf(const std::string& lines)
{
  return findHeadFault("HTTP/1.1 200 OK\r\nA: 1\r\n" + lines + "\r\n\r\n");
}

std::string headOf(const std::string& message)
{
  return message.substr(0, message.find("\r\n\r\n") + 4);
}

} // namespace

TEST_CASE("the fault of a head is found")
{
  CHECK(faultOf("B: 2") == HeadFault::None);
  CHECK(faultOf("B: a\tb \xc3\xa9") == HeadFault::None);
  CHECK(faultOf("B:") == HeadFault::None);
  CHECK(faultOf("Content-Length: 2") == HeadFault::None);
  CHECK(faultOf("transfer-encoding:\tCHUNKED ") == HeadFault::None);
  CHECK(faultOf("B") == HeadFault::Line);
  CHECK(faultOf("B: 1\nC: 2") == HeadFault::Line);
  CHECK(faultOf(" B: 1") == HeadFault::ContinuedLine);
  CHECK(faultOf("B : 1") == HeadFault::FieldName);
  CHECK(faultOf("B: \x7f") == HeadFault::FieldValue);
  CHECK(faultOf("Content-Length: 2,2") == HeadFault::Length);
  CHECK(faultOf("Content-Length: 2\r\nContent-Length: 2") == HeadFault::None);
  CHECK(faultOf("Content-Length: 2\r\nContent-Length: 3") == HeadFault::Length);
  CHECK(faultOf("Transfer-Encoding: gzip, chunked") == HeadFault::Coding);
  CHECK(faultOf("Transfer-Encoding: chunked\r\nContent-Length: 2") ==
        HeadFault::LengthBesideCoding);
  for (const std::string& rest : base::testing::faultyHeads()) {
    CAPTURE(rest);
    CHECK(findHeadFault(headOf("HTTP/1.1 200 OK\r\nA: 1\r\n" + rest)) != HeadFault::None);
  }
}

TEST_CASE("several heads are checked each by itself")
{
  const std::string interim = "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n";
  CHECK(findHeadFault(interim + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        HeadFault::None);
  CHECK(findHeadFault(interim + "HTTP/1.1 200 OK\r\n A: 1\r\n\r\n") == HeadFault::ContinuedLine);
}

TEST_CASE("each byte of a name is a token character, and no control character is in a value")
{
  const std::string token = "!#$%&'*+-.^_`|~0123456789abcxyzABCXYZ";
  for (int byte = 1; byte < 256; ++byte) {
    const std::string text(1, static_cast<char>(byte));
    const bool isToken =
      token.find(text) != std::string::npos || (byte < 128 && std::isalnum(byte) != 0);
    CAPTURE(byte);
    if (text != ":" && text != "\n") {
      CHECK((faultOf("B" + text + "C: 1") == HeadFault::None) == isToken);
    }
    CHECK((faultOf("B: 1" + text + "2") == HeadFault::None) ==
          ((byte >= 32 && byte != 127) || byte == '\t'));
  }
}

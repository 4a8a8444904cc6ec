#include <base/PercentEncoding.h>

#include <doctest/doctest.h>

using namespace sycamore;

TEST_CASE("all bytes but the unreserved characters are percent-encoded")
{
  const std::string unreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  for (int byte = 0; byte < 256; ++byte) {
    const std::string text(1, static_cast<char>(byte));
    const std::string encoded = base::percentEncode(text);
    CAPTURE(byte);
    if (unreserved.find(text) != std::string::npos) {
      CHECK(encoded == text);
    } else {
      REQUIRE(encoded.size() == 3);
      CHECK(encoded[0] == '%');
      CHECK(std::stoi(encoded.substr(1), nullptr, 16) == byte);
    }
  }
  CHECK(base::percentEncode("") == "");
  CHECK(base::percentEncode("a b\xc3\xa9") == "a%20b%C3%A9");
}

#include <base/HeaderFields.h>

#include <doctest/doctest.h>

using namespace sycamore::base;

namespace {

std::string textOf(const HeaderFields& fields)
{
  std::string text;
  for (const HeaderField& field : fields) {
    text.append(field.name).append("=").append(field.value).append(";");
  }
  return text;
}

} // namespace

TEST_CASE("header fields keep their order, and names compare without case")
{
  HeaderFields fields;
  fields.append("Host", "a");
  fields.append("Cookie", "x");
  fields.append("cookie", "y");
  CHECK(textOf(fields) == "Host=a;Cookie=x;cookie=y;");
  CHECK(fields.find("COOKIE") == "x");
  CHECK_FALSE(fields.find("Cooki").has_value());
  CHECK(fields.valueOf("Other").empty());
  fields.set("COOKIE", "z");
  CHECK(textOf(fields) == "Host=a;COOKIE=z;");
  fields.erase("host");
  CHECK(textOf(fields) == "COOKIE=z;");
  CHECK_FALSE(equalFieldNames("a@b", "a`b"));
}

// Guards against fields that can't hold what the limits allow.
TEST_CASE("names and values of header fields may have any size")
{
  HeaderFields fields;
  for (const std::size_t size : { 0, 255, 65'533, 65'534, 65'535, 65'536, 1'000'000 }) {
    fields.append(std::string(size, 'n'), std::string(size, 'v'));
    CHECK(fields.valueOf(std::string(size, 'N')).size() == size);
  }
  const HeaderFields moved = std::move(fields);
  CHECK(moved.valueOf(std::string(255, 'n')) == std::string(255, 'v'));
}

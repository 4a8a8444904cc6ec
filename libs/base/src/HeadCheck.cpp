#include <base/HeadCheck.h>

#include <base/HeaderFields.h>

#include <algorithm>

namespace sycamore::base {

namespace {

constexpr std::string_view kBlanks = " \t";
constexpr std::string_view kLength = "Content-Length";

bool isDigit(char c)
{
  return c >= '0' && c <= '9';
}

bool isTokenCharacter(char c)
{
  const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return isLetter || isDigit(c) || kOthers.find(c) != std::string_view::npos;
}

bool isControl(char c)
{
  return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f';
}

std::string_view trimmed(std::string_view text)
{
  const std::size_t begin = std::min(text.find_first_not_of(kBlanks), text.size());
  text.remove_prefix(begin);
  return text.substr(0, text.find_last_not_of(kBlanks) + 1);
}

// Checks the header lines of one head.
class LineCheck
{
public:
  HeadFault check(std::string_view line)
  {
    if (kBlanks.find(line.front()) != std::string_view::npos) {
      return HeadFault::ContinuedLine;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      return HeadFault::Line;
    }
    const std::string_view name = line.substr(0, colon);
    if (name.empty() || !std::ranges::all_of(name, isTokenCharacter)) {
      return HeadFault::FieldName;
    }
    return checkField(name, trimmed(line.substr(colon + 1)));
  }

private:
  HeadFault checkField(std::string_view name, std::string_view value)
  {
    if (std::ranges::any_of(value, isControl)) {
      return HeadFault::FieldValue;
    }
    if (equalFieldNames(name, kLength)) {
      const bool isNumber = !value.empty() && std::ranges::all_of(value, isDigit);
      if (!isNumber || (!length_.empty() && length_ != value)) {
        return HeadFault::Length;
      }
      length_ = value;
    }
    coding_.onField(name, value);
    return coding_.fault();
  }

  CodingCheck coding_;
  std::string_view length_;
};

} // namespace

void CodingCheck::onField(std::string_view name, std::string_view value)
{
  const bool isCoding = equalFieldNames(name, "Transfer-Encoding");
  const bool isOther = isCoding && (hasCoding_ || !equalFieldNames(value, "chunked"));
  hasCoding_ = hasCoding_ || isCoding;
  hasLength_ = hasLength_ || equalFieldNames(name, kLength);
  if (fault_ != HeadFault::None) {
    return;
  }
  if (isOther) {
    fault_ = HeadFault::Coding;
  } else if (hasLength_ && hasCoding_) {
    fault_ = HeadFault::LengthBesideCoding;
  }
}

HeadFault findHeadFault(std::string_view heads)
{
  bool isStartLine = true;
  LineCheck lines;
  while (!heads.empty()) {
    const std::size_t end = heads.find('\n');
    if (end == std::string_view::npos || end == 0 || heads[end - 1] != '\r') {
      return HeadFault::Line;
    }
    const std::string_view line = heads.substr(0, end - 1);
    heads.remove_prefix(end + 1);
    if (line.empty()) {
      isStartLine = true;
      lines = {};
    } else if (isStartLine) {
      isStartLine = false;
    } else if (const HeadFault fault = lines.check(line); fault != HeadFault::None) {
      return fault;
    }
  }
  return HeadFault::None;
}

} // namespace sycamore::base

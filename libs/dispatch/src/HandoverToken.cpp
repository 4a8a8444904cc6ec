#include <dispatch/HandoverToken.h>

#include <base/Utf8.h>

namespace sycamore::dispatch {

namespace {

bool isControl(char c)
{
  return static_cast<unsigned char>(c) < 0x20 || c == '\x7f';
}

} // namespace

HandoverToken::HandoverToken(std::string_view text)
  : text_(defectOf(text) == Defect::None ? text : std::string_view{})
{
}

HandoverToken::Defect HandoverToken::defectOf(std::string_view text)
{
  if (text.size() > kMaxBytes) {
    return Defect::TooLong;
  }
  while (!text.empty()) {
    const std::size_t length = base::utf8SequenceLength(text);
    if (length == 0 || isControl(text.front())) {
      return Defect::NotText;
    }
    text.remove_prefix(length);
  }
  return Defect::None;
}

const char* describe(HandoverToken::Defect defect)
{
  switch (defect) {
    case HandoverToken::Defect::None:
      return "none";
    case HandoverToken::Defect::TooLong:
      return "too long";
    case HandoverToken::Defect::NotText:
      return "not valid text";
  }
  return "unknown";
}

} // namespace sycamore::dispatch

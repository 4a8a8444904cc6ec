#pragma once

#include <string_view>

namespace sycamore::base {

// What makes the head of an HTTP/1.1 message one that can't be taken, because recipients read it in
// different ways.
enum class HeadFault
{
  None,
  // A line that doesn't end in CRLF or has no colon.
  Line,
  // A line that begins with a blank or a tab and so continues the one before (RFC 9112, 5.2).
  ContinuedLine,
  // A byte in a name that isn't a token character, or an empty name (RFC 9110, 5.1).
  FieldName,
  // A control character in a value (RFC 9110, 5.5).
  FieldValue,
  // A length that isn't a number, or a second one that differs (RFC 9112, 6.3).
  Length,
  // Another transfer coding than `chunked` alone (RFC 9112, 6.1).
  Coding,
  // A length beside a transfer coding (RFC 9112, 6.3).
  LengthBesideCoding
};

// Checks the transfer coding of one message by its header fields. It leaves the value of the length
// to the message's parser.
class CodingCheck
{
public:
  void onField(std::string_view name, std::string_view value);

  // Returns the first fault of the fields so far.
  HeadFault fault() const { return fault_; }

private:
  bool hasLength_ = false;
  bool hasCoding_ = false;
  HeadFault fault_ = HeadFault::None;
};

// Returns the first fault of the header lines in one or more heads, each with its start line, which
// isn't checked, and its blank line. The last head may be incomplete after a whole line.
HeadFault findHeadFault(std::string_view heads);

} // namespace sycamore::base

#pragma once

#include <string>
#include <string_view>

namespace sycamore::base {

// Returns the text as a part of a path or a query (RFC 3986): every byte but letters, digits and
// "-._~" is written as %XX. The text may hold any bytes.
std::string percentEncode(std::string_view text);

// Returns whether the byte stands for itself in every part of a URI, so that percentEncode() keeps
// it.
bool isUnreserved(char c);

} // namespace sycamore::base

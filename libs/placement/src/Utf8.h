#pragma once

#include <string_view>

namespace sycamore::placement {

// Returns whether the text is well-formed UTF-8, without overlong forms, surrogates or values above
// U+10FFFF. JSON text can hold nothing else.
bool isUtf8(std::string_view text);

} // namespace sycamore::placement

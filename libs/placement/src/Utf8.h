#pragma once

#include <string_view>

namespace sycamore::placement {

// True for well-formed UTF-8: no overlong forms, surrogates or values above U+10FFFF. JSON text can
// hold nothing else.
bool isUtf8(std::string_view text);

} // namespace sycamore::placement

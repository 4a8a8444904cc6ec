#pragma once

#include <cstddef>
#include <string_view>

namespace sycamore::base {

// Returns the length in bytes of the valid UTF-8 sequence at the start of the text, 1 to 4; 0 if
// there is none. Overlong forms, surrogates and values beyond Unicode aren't valid.
std::size_t utf8SequenceLength(std::string_view text);

} // namespace sycamore::base

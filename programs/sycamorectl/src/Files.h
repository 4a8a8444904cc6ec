#pragma once

#include <string>

namespace sycamore::ctl {

// Returns the content of the file, or standard input for "-". Throws CtlError (Usage) if it can't
// be read.
std::string readFile(const std::string& path);

// Replaces the content of the file. Throws CtlError (Failed) if it can't be written.
void writeFile(const std::string& path, const std::string& text);

// Returns the text without leading and trailing white space.
std::string trimmed(const std::string& text);

} // namespace sycamore::ctl

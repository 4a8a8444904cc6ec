#pragma once

#include <string>

namespace sycamore::ctl {

// The whole file, or standard input for "-". Throws CtlError (Usage) if it can't be read.
std::string readFile(const std::string& path);

// Writes the whole file. Throws CtlError (Failed) if it can't.
void writeFile(const std::string& path, const std::string& text);

std::string withoutSpaceAtEnds(const std::string& text);

} // namespace sycamore::ctl

#include "Files.h"

#include "CtlError.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace sycamore::ctl {

std::string readFile(const std::string& path)
{
  const auto contentOf = [](std::istream& input) {
    return std::string(std::istreambuf_iterator<char>(input), {});
  };
  if (path == "-") {
    return contentOf(std::cin);
  }
  std::ifstream file(path, std::ios::binary);
  std::string text = file ? contentOf(file) : std::string();
  if (!file) {
    throw CtlError(ExitStatus::Usage, "can't read " + path);
  }
  return text;
}

void writeFile(const std::string& path, const std::string& text)
{
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  if (!file) {
    throw CtlError(ExitStatus::Failed, "can't write " + path);
  }
}

std::string trimmed(const std::string& text)
{
  constexpr const char* kWhitespace = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kWhitespace);
  return first == std::string::npos
           ? ""
           : text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

} // namespace sycamore::ctl

#pragma once

#include <string>

namespace sycamore::operators {

// PEM texts of a new key and a certificate that it signed itself, valid for an hour.
struct SelfSigned
{
  std::string certificate;
  std::string privateKey;
};

SelfSigned makeSelfSigned(const std::string& name);

} // namespace sycamore::operators

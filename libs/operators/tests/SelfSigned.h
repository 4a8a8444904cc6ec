#pragma once

#include <string>

namespace sycamore::operators {

// PEM texts of a new key and of its self-signed certificate, valid for an hour.
struct SelfSigned
{
  std::string certificate;
  std::string privateKey;
};

// Creates a key and a certificate for the given DNS name.
SelfSigned makeSelfSigned(const std::string& name);

} // namespace sycamore::operators

#pragma once

#include <configuration/ObjectName.h>

#include <cstdint>
#include <map>
#include <string>

namespace sycamore::configuration {

// What a VM has, name by name: the body of a fetch.
using ConfigInventory = std::map<ObjectName, base::Version>;

// Fingerprint of an inventory, small enough for each heartbeat. Equal digests mean equal
// inventories, but for collisions of 64 bits; unequal ones don't tell which side is newer, so both
// sides fetch what the other has newer.
class ConfigDigest
{
public:
  ConfigDigest() = default;

  // Adds or takes away one entry; the order of calls doesn't matter.
  void toggle(const ObjectName& name, base::Version version);

  // 16 hexadecimal digits.
  std::string toHex() const;
  // Throws ConfigError unless the text is as toHex() writes it.
  static ConfigDigest parse(const std::string& text);

  friend bool operator==(const ConfigDigest&, const ConfigDigest&) = default;

private:
  std::uint64_t bits_ = 0;
};

} // namespace sycamore::configuration

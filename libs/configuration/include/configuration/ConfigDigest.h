#pragma once

#include <configuration/ObjectName.h>

#include <cstdint>
#include <map>
#include <string>

namespace sycamore::configuration {

// Version of each object that a VM has: the body of a fetch request.
using ConfigInventory = std::map<ObjectName, base::Version>;

// Hash of an inventory, small enough to be sent in each heartbeat. Apart from collisions of the
// 64-bit hash, equal digests mean equal inventories. Unequal digests don't show which side is
// newer, so each side fetches the objects that the other one has in newer versions.
class ConfigDigest
{
public:
  ConfigDigest() = default;

  // Adds an entry, or removes it if it was added before. The order of calls doesn't matter.
  void toggle(const ObjectName& name, base::Version version);

  // Returns 16 hexadecimal digits.
  std::string toHex() const;
  // Throws ConfigError unless the text has the format of toHex().
  static ConfigDigest parse(const std::string& text);

  friend bool operator==(const ConfigDigest&, const ConfigDigest&) = default;

private:
  std::uint64_t bits_ = 0;
};

} // namespace sycamore::configuration

#pragma once

#include "JsonDocument.h"

#include <base/Time.h>
#include <configuration/ConfigFault.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <set>
#include <string>

namespace sycamore::configuration {

// Reads the fields of one JSON object into variables and collects a fault for each that doesn't
// fit; such a variable keeps its value. finish() reports the fields that nobody asked for.
class FieldReader
{
public:
  // Both references must outlive the reader.
  FieldReader(const nlohmann::json& object, std::string path, ConfigFaults& faults);

  // The named field, or nullptr if it is absent; a required one is then reported.
  const nlohmann::json* find(const std::string& field, bool required = false);
  // As find(), but the field must be an object.
  const nlohmann::json* findObject(const std::string& field, bool required = false);
  const nlohmann::json* findArray(const std::string& field, bool required = false);

  void read(const std::string& field, bool& value);
  // Whether the field was there and was a string.
  bool read(const std::string& field, std::string& value, bool required = false);
  void read(const std::string& field, double& value, double least, double most);
  void read(const std::string& field,
            base::milliseconds& value,
            std::uint64_t least,
            std::uint64_t most);

  template<std::unsigned_integral T>
  void read(const std::string& field, T& value, std::uint64_t least, std::uint64_t most)
  {
    std::uint64_t wide = value;
    readInteger(field, wide, least, most);
    value = static_cast<T>(wide);
  }

  // Reports a fault of a field.
  void fault(const std::string& field, std::string message);
  std::string pathOf(const std::string& field) const { return pathTo(path_, field); }
  ConfigFaults& faults() { return faults_; }

  void finish();

private:
  void readInteger(const std::string& field,
                   std::uint64_t& value,
                   std::uint64_t least,
                   std::uint64_t most);

  const nlohmann::json& object_;
  std::string path_;
  ConfigFaults& faults_;
  std::set<std::string> known_;
};

} // namespace sycamore::configuration

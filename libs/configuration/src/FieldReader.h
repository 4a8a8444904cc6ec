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

// Reads the fields of one JSON object into variables and records a fault for each invalid field,
// whose variable keeps its value. finish() records a fault for each field that was never
// requested, because such a field is unknown.
class FieldReader
{
public:
  // Both references must outlive the reader.
  FieldReader(const nlohmann::json& object, std::string path, ConfigFaults& faults);

  // Returns the named field, or nullptr if it is absent, which is a fault for a required field.
  const nlohmann::json* find(const std::string& field, bool required = false);
  // Like find(), but the field must be an object or array, respectively.
  const nlohmann::json* findObject(const std::string& field, bool required = false);
  const nlohmann::json* findArray(const std::string& field, bool required = false);

  void read(const std::string& field, bool& value);
  // Returns whether the field is present and a string.
  bool read(const std::string& field, std::string& value, bool required = false);
  void read(const std::string& field, double& value, double minimum, double maximum);
  void read(const std::string& field,
            base::milliseconds& value,
            std::uint64_t minimum,
            std::uint64_t maximum);

  template<std::unsigned_integral T>
  void read(const std::string& field, T& value, std::uint64_t minimum, std::uint64_t maximum)
  {
    std::uint64_t wide = value;
    readInteger(field, wide, minimum, maximum);
    value = static_cast<T>(wide);
  }

  // Records a fault of a field.
  void fault(const std::string& field, std::string message);
  std::string pathOf(const std::string& field) const { return pathTo(path_, field); }
  ConfigFaults& faults() { return faults_; }

  void finish();

private:
  void readInteger(const std::string& field,
                   std::uint64_t& value,
                   std::uint64_t minimum,
                   std::uint64_t maximum);

  const nlohmann::json& object_;
  std::string path_;
  ConfigFaults& faults_;
  std::set<std::string> requestedFields_;
};

} // namespace sycamore::configuration

#pragma once

#include <configuration/ConfigFault.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace sycamore::configuration {

// Parses a document that must be a JSON object without duplicate fields; records faults otherwise.
std::optional<nlohmann::json> parseDocument(const std::string& text, ConfigFaults& faults);

// Returns the JSON pointer of a field of the object at the parent path.
std::string pathTo(const std::string& parent, const std::string& field);

} // namespace sycamore::configuration

#pragma once

#include <configuration/ConfigFault.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace sycamore::configuration {

// Parses a document that must be a JSON object without repeated fields, or reports why not.
std::optional<nlohmann::json> parseDocument(const std::string& text, ConfigFaults& faults);

// The JSON pointer of a field below a path.
std::string pathTo(const std::string& parent, const std::string& field);

} // namespace sycamore::configuration

#pragma once

#include <google/protobuf/message.h>
#include <nlohmann/json.hpp>

namespace sycamore::operators {

// Naming of the fields in JSON.
enum class FieldNames
{
  // Names of the schema, such as base_version.
  Schema,
  // Names of the message structures, such as baseVersion.
  CamelCase
};

// Returns all fields of a message, absent ones with their default. 64-bit integers are JSON numbers
// and bytes are strings without any encoding, unlike in protobuf's own JSON mapping, which also
// serves languages that can't represent these.
nlohmann::json jsonOf(const google::protobuf::Message& message, FieldNames names);

// Sets the message's fields that are present in the JSON object. Throws OperatorError
// (InvalidArgument) for unknown fields and for values of a wrong type.
void setFromJson(const nlohmann::json& json, FieldNames names, google::protobuf::Message& message);

} // namespace sycamore::operators

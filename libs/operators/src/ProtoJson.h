#pragma once

#include <google/protobuf/message.h>
#include <nlohmann/json.hpp>

namespace sycamore::operators {

// Which names fields have in JSON.
enum class FieldNames
{
  // As in the schema: base_version.
  Schema,
  // As in the message structures: baseVersion.
  Camel
};

// All fields of a message, absent ones with their default. 64-bit numbers are numbers and bytes are
// strings as they are, unlike in protobuf's own JSON, which serves readers in other languages.
nlohmann::json jsonOf(const google::protobuf::Message& message, FieldNames names);

// Sets the fields that are present. Throws OperatorError (InvalidArgument) for unknown fields and
// wrong types.
void readJson(const nlohmann::json& json, FieldNames names, google::protobuf::Message& message);

} // namespace sycamore::operators

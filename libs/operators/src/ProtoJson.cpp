#include "ProtoJson.h"

#include <operators/OperatorError.h>

#include <google/protobuf/descriptor.h>

namespace sycamore::operators {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using nlohmann::json;

const std::string& nameOf(const FieldDescriptor& field, FieldNames names)
{
  return names == FieldNames::Schema ? field.name() : field.json_name();
}

json singleValue(const Message& message, const FieldDescriptor& field, FieldNames names)
{
  const auto& reflection = *message.GetReflection();
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
      return reflection.GetBool(message, &field);
    case FieldDescriptor::CPPTYPE_UINT32:
      return reflection.GetUInt32(message, &field);
    case FieldDescriptor::CPPTYPE_UINT64:
      return reflection.GetUInt64(message, &field);
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return reflection.GetDouble(message, &field);
    case FieldDescriptor::CPPTYPE_STRING:
      return reflection.GetString(message, &field);
    case FieldDescriptor::CPPTYPE_ENUM:
      return reflection.GetEnum(message, &field)->name();
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return jsonOf(reflection.GetMessage(message, &field), names);
    default:
      throw OperatorError(OperatorErrorCode::Internal,
                          "no JSON conversion for the type of field " + field.full_name());
  }
}

json repeatedValue(const Message& message, const FieldDescriptor& field, FieldNames names)
{
  const auto& reflection = *message.GetReflection();
  json list = json::array();
  for (int i = 0; i < reflection.FieldSize(message, &field); ++i) {
    switch (field.cpp_type()) {
      case FieldDescriptor::CPPTYPE_UINT32:
        list.push_back(reflection.GetRepeatedUInt32(message, &field, i));
        break;
      case FieldDescriptor::CPPTYPE_STRING:
        list.push_back(reflection.GetRepeatedString(message, &field, i));
        break;
      case FieldDescriptor::CPPTYPE_MESSAGE:
        list.push_back(jsonOf(reflection.GetRepeatedMessage(message, &field, i), names));
        break;
      default:
        throw OperatorError(OperatorErrorCode::Internal,
                            "no JSON conversion for the element type of field " +
                              field.full_name());
    }
  }
  return list;
}

// Sets an enum by the name of its value. A name that the schema doesn't have leaves the field as it
// is.
void setEnum(Message& message, const FieldDescriptor& field, const std::string& name)
{
  const auto* value = field.enum_type()->FindValueByName(name);
  if (value != nullptr) {
    message.GetReflection()->SetEnum(&message, &field, value);
  }
}

void setSingle(const json& value, FieldNames names, Message& message, const FieldDescriptor& field)
{
  const auto& reflection = *message.GetReflection();
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
      return reflection.SetBool(&message, &field, value.get<bool>());
    case FieldDescriptor::CPPTYPE_UINT32:
      return reflection.SetUInt32(&message, &field, value.get<std::uint32_t>());
    case FieldDescriptor::CPPTYPE_UINT64:
      return reflection.SetUInt64(&message, &field, value.get<std::uint64_t>());
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return reflection.SetDouble(&message, &field, value.get<double>());
    case FieldDescriptor::CPPTYPE_STRING:
      return reflection.SetString(&message, &field, value.get<std::string>());
    case FieldDescriptor::CPPTYPE_ENUM:
      return setEnum(message, field, value.get<std::string>());
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return setFromJson(value, names, *reflection.MutableMessage(&message, &field));
    default:
      throw OperatorError(OperatorErrorCode::Internal,
                          "no JSON conversion for the type of field " + field.full_name());
  }
}

void addElement(const json& value, FieldNames names, Message& message, const FieldDescriptor& field)
{
  const auto& reflection = *message.GetReflection();
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      return reflection.AddUInt32(&message, &field, value.get<std::uint32_t>());
    case FieldDescriptor::CPPTYPE_STRING:
      return reflection.AddString(&message, &field, value.get<std::string>());
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return setFromJson(value, names, *reflection.AddMessage(&message, &field));
    default:
      throw OperatorError(OperatorErrorCode::Internal,
                          "no JSON conversion for the element type of field " + field.full_name());
  }
}

const FieldDescriptor& findField(const Descriptor& type, const std::string& name, FieldNames names)
{
  for (int i = 0; i < type.field_count(); ++i) {
    if (nameOf(*type.field(i), names) == name) {
      return *type.field(i);
    }
  }
  throw OperatorError(OperatorErrorCode::InvalidArgument,
                      type.name() + " has no field \"" + name + "\"");
}

void setField(const json& value, FieldNames names, Message& message, const FieldDescriptor& field)
{
  if (!field.is_repeated()) {
    setSingle(value, names, message, field);
    return;
  }
  for (const json& element : value) {
    addElement(element, names, message, field);
  }
}

} // namespace

json jsonOf(const Message& message, FieldNames names)
{
  json object = json::object();
  const Descriptor& type = *message.GetDescriptor();
  for (int i = 0; i < type.field_count(); ++i) {
    const FieldDescriptor& field = *type.field(i);
    object[nameOf(field, names)] = field.is_repeated() ? repeatedValue(message, field, names)
                                                       : singleValue(message, field, names);
  }
  return object;
}

void setFromJson(const json& value, FieldNames names, Message& message)
{
  for (const auto& [name, element] : value.items()) {
    const FieldDescriptor& field = findField(*message.GetDescriptor(), name, names);
    try {
      setField(element, names, message, field);
    } catch (const json::exception& error) {
      throw OperatorError(OperatorErrorCode::InvalidArgument,
                          "field \"" + name + "\": " + error.what());
    }
  }
}

} // namespace sycamore::operators

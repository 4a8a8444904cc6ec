#include "FieldReader.h"

namespace sycamore::configuration {

namespace {

using nlohmann::json;

std::string rangeMessage(const std::string& minimum, const std::string& maximum)
{
  return "must be from " + minimum + " to " + maximum;
}

} // namespace

FieldReader::FieldReader(const json& object, std::string path, ConfigFaults& faults)
  : object_(object)
  , path_(std::move(path))
  , faults_(faults)
{
}

const json* FieldReader::find(const std::string& field, bool required)
{
  requestedFields_.insert(field);
  const auto found = object_.find(field);
  if (found != object_.end()) {
    return &*found;
  }
  if (required) {
    fault(field, "is required");
  }
  return nullptr;
}

const json* FieldReader::findObject(const std::string& field, bool required)
{
  const json* found = find(field, required);
  if (found != nullptr && !found->is_object()) {
    fault(field, "must be an object");
    return nullptr;
  }
  return found;
}

const json* FieldReader::findArray(const std::string& field, bool required)
{
  const json* found = find(field, required);
  if (found != nullptr && !found->is_array()) {
    fault(field, "must be an array");
    return nullptr;
  }
  return found;
}

void FieldReader::read(const std::string& field, bool& value)
{
  const json* found = find(field);
  if (found == nullptr) {
    return;
  }
  if (!found->is_boolean()) {
    fault(field, "must be true or false");
    return;
  }
  value = found->get<bool>();
}

bool FieldReader::read(const std::string& field, std::string& value, bool required)
{
  const json* found = find(field, required);
  if (found == nullptr) {
    return false;
  }
  if (!found->is_string()) {
    fault(field, "must be a string");
    return false;
  }
  value = found->get<std::string>();
  return true;
}

void FieldReader::read(const std::string& field, double& value, double minimum, double maximum)
{
  const json* found = find(field);
  if (found == nullptr) {
    return;
  }
  if (!found->is_number()) {
    fault(field, "must be a number");
    return;
  }
  const double number = found->get<double>();
  if (!(number >= minimum && number <= maximum)) {
    fault(field, rangeMessage(json(minimum).dump(), json(maximum).dump()));
    return;
  }
  value = number;
}

void FieldReader::read(const std::string& field,
                       base::milliseconds& value,
                       std::uint64_t minimum,
                       std::uint64_t maximum)
{
  auto count = static_cast<std::uint64_t>(value.count());
  readInteger(field, count, minimum, maximum);
  value = base::milliseconds(count);
}

void FieldReader::fault(const std::string& field, std::string message)
{
  faults_.push_back({ pathOf(field), std::move(message) });
}

void FieldReader::finish()
{
  for (const auto& [field, value] : object_.items()) {
    if (!requestedFields_.contains(field)) {
      fault(field, "is not a known field");
    }
  }
}

void FieldReader::readInteger(const std::string& field,
                              std::uint64_t& value,
                              std::uint64_t minimum,
                              std::uint64_t maximum)
{
  const json* found = find(field);
  if (found == nullptr) {
    return;
  }
  if (!found->is_number_integer()) {
    fault(field, "must be an integer");
    return;
  }
  const bool negative = !found->is_number_unsigned() && found->get<std::int64_t>() < 0;
  const std::uint64_t number = negative ? 0 : found->get<std::uint64_t>();
  if (negative || number < minimum || number > maximum) {
    fault(field, rangeMessage(std::to_string(minimum), std::to_string(maximum)));
    return;
  }
  value = number;
}

} // namespace sycamore::configuration

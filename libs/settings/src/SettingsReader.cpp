#include <settings/SettingsReader.h>

#include "DuplicateFieldCheck.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cmath>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace sycamore::settings {

using nlohmann::json;

struct SettingsReader::Document
{
  json root;
  std::vector<std::string> faults;
  // Fields that were requested, by the path of their object.
  std::map<std::string, std::set<std::string, std::less<>>> requestedFields;
  // Objects that readers were created for, by path.
  std::map<std::string, const json*> objects;
};

namespace {

std::string childPath(const std::string& parent, std::string_view field)
{
  return (json::json_pointer(parent) / std::string(field)).to_string();
}

template<typename T>
std::string rangeMessage(T low, T high)
{
  std::ostringstream out;
  out << "must be between " << low << " and " << high;
  return out.str();
}

bool isPort(const std::string& text, int minPort)
{
  if (text.empty() || text.size() > 5 || !std::all_of(text.begin(), text.end(), ::isdigit)) {
    return false;
  }
  const int port = std::stoi(text);
  return port >= minPort && port <= 65535;
}

bool isHost(std::string host)
{
  in6_addr buffer{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), &buffer) == 1;
}

bool isAddress(const std::string& text, int minPort)
{
  const std::size_t colon = text.rfind(':');
  return colon != std::string::npos && isPort(text.substr(colon + 1), minPort) &&
         isHost(text.substr(0, colon));
}

} // namespace

SettingsReader::SettingsReader(json document)
  : document_(std::make_shared<Document>())
  , node_(nullptr)
{
  document_->root = std::move(document);
  if (document_->root.is_object()) {
    node_ = &document_->root;
    document_->objects[path_] = node_;
  } else {
    document_->faults.push_back("/: must be an object");
  }
}

SettingsReader::SettingsReader(std::shared_ptr<Document> document,
                               std::string path,
                               const json* node)
  : document_(std::move(document))
  , path_(std::move(path))
  , node_(node)
{
  if (node_ != nullptr) {
    document_->objects[path_] = node_;
  }
}

SettingsReader SettingsReader::parse(std::string_view text)
{
  DuplicateFieldCheck check;
  try {
    SettingsReader reader(json::parse(text, std::ref(check)));
    for (const std::string& field : check.duplicates()) {
      reader.document_->faults.push_back(field + ": occurs twice");
    }
    return reader;
  } catch (const json::parse_error& error) {
    throw SettingsError({ std::string("/: not valid JSON: ") + error.what() });
  }
}

SettingsReader SettingsReader::readFile(const std::string& path)
{
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf())) {
    throw SettingsError({ "/: cannot read the file " + path });
  }
  return parse(content.str());
}

const json* SettingsReader::find(std::string_view field, bool required)
{
  if (node_ == nullptr) {
    return nullptr;
  }
  document_->requestedFields[path_].emplace(field);
  const auto found = node_->find(field);
  if (found != node_->end()) {
    return &*found;
  }
  if (required) {
    fault(field, "is required");
  }
  return nullptr;
}

std::string SettingsReader::text(std::string_view field,
                                 std::size_t minLength,
                                 std::size_t maxLength,
                                 std::optional<std::string> fallback)
{
  const json* value = find(field, !fallback);
  if (value == nullptr) {
    return fallback.value_or("");
  }
  if (!value->is_string()) {
    fault(field, "must be a string");
    return fallback.value_or("");
  }
  const auto& found = value->get_ref<const std::string&>();
  if (found.size() < minLength || found.size() > maxLength) {
    fault(field, "length in bytes " + rangeMessage(minLength, maxLength));
  }
  return found;
}

std::string SettingsReader::oneOf(std::string_view field,
                                  std::initializer_list<std::string_view> choices,
                                  std::optional<std::string> fallback)
{
  const std::size_t faultsBefore = document_->faults.size();
  std::string found = text(field, 0, std::numeric_limits<std::size_t>::max(), std::move(fallback));
  if (node_ == nullptr || document_->faults.size() != faultsBefore) {
    return found;
  }
  if (std::find(choices.begin(), choices.end(), found) == choices.end()) {
    std::string message = "must be one of";
    for (const std::string_view choice : choices) {
      message.append(" \"").append(choice).append("\"");
    }
    fault(field, message);
  }
  return found;
}

std::string SettingsReader::address(std::string_view field,
                                    std::uint16_t minPort,
                                    std::optional<std::string> fallback)
{
  const std::size_t faultsBefore = document_->faults.size();
  std::string found = text(field, 0, std::numeric_limits<std::size_t>::max(), std::move(fallback));
  if (node_ != nullptr && document_->faults.size() == faultsBefore && !isAddress(found, minPort)) {
    fault(field, "must be an IP address with a port, such as \"127.0.0.1:8080\"");
  }
  return found;
}

bool SettingsReader::boolean(std::string_view field, std::optional<bool> fallback)
{
  const json* value = find(field, !fallback);
  if (value != nullptr && value->is_boolean()) {
    return value->get<bool>();
  }
  if (value != nullptr) {
    fault(field, "must be true or false");
  }
  return fallback.value_or(false);
}

double SettingsReader::number(std::string_view field,
                              double low,
                              double high,
                              std::optional<double> fallback)
{
  const json* value = find(field, !fallback);
  if (value == nullptr) {
    return fallback.value_or(low);
  }
  if (!value->is_number()) {
    fault(field, "must be a number");
    return fallback.value_or(low);
  }
  const auto found = value->get<double>();
  if (!std::isfinite(found) || found < low || found > high) {
    fault(field, rangeMessage(low, high));
    return fallback.value_or(low);
  }
  return found;
}

std::int64_t SettingsReader::readInteger(std::string_view field,
                                         std::int64_t low,
                                         std::int64_t high,
                                         std::optional<std::int64_t> fallback)
{
  const json* value = find(field, !fallback);
  if (value == nullptr) {
    return fallback.value_or(low);
  }
  if (!value->is_number_integer()) {
    fault(field, "must be an integer");
    return fallback.value_or(low);
  }
  constexpr auto kMax = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const bool tooLarge = value->is_number_unsigned() && value->get<std::uint64_t>() > kMax;
  const auto found = tooLarge ? 0 : value->get<std::int64_t>();
  if (tooLarge || found < low || found > high) {
    fault(field, rangeMessage(low, high));
    return fallback.value_or(low);
  }
  return found;
}

base::Duration SettingsReader::millis(std::string_view field,
                                      base::milliseconds low,
                                      base::milliseconds high,
                                      std::optional<base::milliseconds> fallback)
{
  std::optional<std::int64_t> wide;
  if (fallback) {
    wide = fallback->count();
  }
  return base::milliseconds(readInteger(field, low.count(), high.count(), wide));
}

const json* SettingsReader::findArray(std::string_view field,
                                      std::size_t minCount,
                                      std::size_t maxCount)
{
  const json* value = find(field, minCount > 0);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_array()) {
    fault(field, "must be an array");
    return nullptr;
  }
  if (value->size() < minCount || value->size() > maxCount) {
    fault(field, "number of elements " + rangeMessage(minCount, maxCount));
  }
  return value;
}

std::vector<std::string> SettingsReader::texts(std::string_view field,
                                               std::size_t minCount,
                                               std::size_t maxCount)
{
  constexpr std::size_t kMaxLength = 512;
  std::vector<std::string> found;
  const json* array = findArray(field, minCount, maxCount);
  for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
    const json& element = (*array)[i];
    const std::string* text = element.get_ptr<const std::string*>();
    if (text == nullptr || text->empty() || text->size() > kMaxLength) {
      document_->faults.push_back(childPath(childPath(path_, field), std::to_string(i)) +
                                  ": must be a string of 1 to 512 bytes");
      continue;
    }
    found.push_back(*text);
  }
  return found;
}

SettingsReader SettingsReader::object(std::string_view field)
{
  const json* value = find(field, true);
  if (value != nullptr && !value->is_object()) {
    fault(field, "must be an object");
    value = nullptr;
  }
  return { document_, childPath(path_, field), value };
}

std::vector<SettingsReader> SettingsReader::objects(std::string_view field,
                                                    std::size_t minCount,
                                                    std::size_t maxCount)
{
  std::vector<SettingsReader> readers;
  const json* array = findArray(field, minCount, maxCount);
  for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
    const json& element = (*array)[i];
    const std::string path = childPath(childPath(path_, field), std::to_string(i));
    if (!element.is_object()) {
      document_->faults.push_back(path + ": must be an object");
      continue;
    }
    readers.push_back(SettingsReader(document_, path, &element));
  }
  return readers;
}

bool SettingsReader::has(std::string_view field)
{
  return find(field, false) != nullptr;
}

void SettingsReader::fault(std::string_view field, std::string_view message)
{
  document_->faults.push_back(childPath(path_, field) + ": " + std::string(message));
}

void SettingsReader::finish()
{
  std::vector<std::string> faults = document_->faults;
  for (const auto& [path, node] : document_->objects) {
    const auto& requested = document_->requestedFields[path];
    for (const auto& [field, value] : node->items()) {
      if (!requested.contains(field)) {
        faults.push_back(childPath(path, field) + ": unknown field");
      }
    }
  }
  if (!faults.empty()) {
    throw SettingsError(std::move(faults));
  }
}

} // namespace sycamore::settings

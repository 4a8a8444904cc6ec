#include <configuration/StoredValue.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamore::configuration {

namespace {

using nlohmann::json;

json parseOrDiscard(const std::string& text)
{
  return json::parse(text, nullptr, false);
}

} // namespace

StoredValue StoredValue::parse(const std::string& text)
{
  StoredValue stored;
  json value = parseOrDiscard(text);
  if (!value.is_object()) {
    stored.document_ = text;
    return stored;
  }
  if (const auto writers = value.find("writers"); writers != value.end() && writers->is_array()) {
    for (const json& writer : *writers) {
      if (writer.is_string() && stored.writers_.size() < kMaxWriters) {
        stored.writers_.push_back(writer.get<std::string>());
      }
    }
  }
  const auto deleted = value.find("deleted");
  stored.deleted_ = deleted != value.end() && *deleted == json(true);
  value.erase("writers");
  if (stored.deleted_) {
    return stored;
  }
  stored.document_ = value.dump();
  return stored;
}

StoredValue StoredValue::changedTo(std::string document, const std::string& writer) const
{
  StoredValue next = *this;
  next.document_ = std::move(document);
  next.deleted_ = false;
  next.addWriter(writer);
  return next;
}

StoredValue StoredValue::deletedBy(const std::string& writer) const
{
  StoredValue next = changedTo("", writer);
  next.deleted_ = true;
  return next;
}

std::string StoredValue::serialize() const
{
  json value = deleted_ ? json::object() : parseOrDiscard(document_);
  if (!value.is_object()) {
    return document_;
  }
  if (deleted_) {
    value["deleted"] = true;
  }
  if (!writers_.empty()) {
    value["writers"] = writers_;
  }
  return value.dump();
}

bool StoredValue::writtenBy(const std::string& writer) const
{
  return std::find(writers_.begin(), writers_.end(), writer) != writers_.end();
}

void StoredValue::addWriter(const std::string& writer)
{
  writers_.insert(writers_.begin(), writer);
  if (writers_.size() > kMaxWriters) {
    writers_.resize(kMaxWriters);
  }
}

} // namespace sycamore::configuration

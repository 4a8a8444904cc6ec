#pragma once

#include <base/Time.h>
#include <platform/StoredObject.h>
#include <platform/Transport.h>
#include <platform/VmRecord.h>
#include <platform/WriteResult.h>

#include <string>
#include <vector>

namespace sycamore::platform {

// Targets and JSON of the object API. Answers that don't have its form throw MalformedAnswer.
class ObjectCodec
{
public:
  static constexpr int kNotFound = 404;

  // Kinds and names are 1 to 128 letters, digits, '.', '_' and '-'; others throw CallRefused.
  static std::string objectTarget(const std::string& kind, const std::string& name);
  static std::string listTarget(const std::string& kind);
  static std::string writeTarget(const std::string& kind,
                                 const std::string& name,
                                 base::Version expected);
  static std::string watchTarget(const std::string& kind, Revision after, base::Duration wait);

  // The body of a successful reply; throws the error that another status stands for.
  static const std::string& bodyOf(const HttpReply& reply);

  static StoredObject readObject(const std::string& body);
  static ObjectList readList(const std::string& body);
  static ObjectChanges readChanges(const std::string& body);
  static std::vector<VmRecord> readVms(const std::string& body);

  // token: the writer's token of a put, "" for a deletion. Server errors and malformed answers
  // leave the write in doubt.
  static WriteResult readWriteReply(const HttpReply& reply, const std::string& token);

  // What a current object with another version than expected says about a write of the token.
  static WriteResult resolve(const StoredObject& current,
                             const std::string& token,
                             bool answerWasLost);

  // The field "writer" of a value; throws CallRefused if there is none.
  static std::string writerToken(const nlohmann::json& value);
};

} // namespace sycamore::platform

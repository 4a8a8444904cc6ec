#pragma once

#include <base/Time.h>
#include <platform/StoredObject.h>
#include <platform/Transport.h>
#include <platform/VmRecord.h>
#include <platform/WriteResult.h>

#include <string>
#include <vector>

namespace sycamore::platform {

// Encodes request targets and decodes JSON answers of the object API. Answers that don't have the
// format of the API throw MalformedAnswer.
class ObjectCodec
{
public:
  static constexpr int kNotFound = 404;

  // Kinds and names consist of 1 to 128 letters, digits, '.', '_' and '-'; others throw
  // CallRefused.
  static std::string objectTarget(const std::string& kind, const std::string& name);
  static std::string listTarget(const std::string& kind);
  static std::string writeTarget(const std::string& kind,
                                 const std::string& name,
                                 base::Version expected);
  static std::string watchTarget(const std::string& kind, Revision after, base::Duration wait);

  // Returns the body of a successful reply; throws the PlatformError for any other status.
  static const std::string& bodyOf(const HttpReply& reply);

  static StoredObject readObject(const std::string& body);
  static ObjectList readList(const std::string& body);
  static ObjectChanges readChanges(const std::string& body);
  static std::vector<VmRecord> readVms(const std::string& body);

  // `token` is the writer token of a put, "" for a deletion. Server errors and malformed answers
  // leave the write in doubt.
  static WriteResult readWriteReply(const HttpReply& reply, const std::string& token);

  // Returns the outcome of the write with the token, given the current object, which has another
  // version than expected.
  static WriteResult resolve(const StoredObject& current,
                             const std::string& token,
                             bool answerWasLost);

  // Returns the field "writer" of a value; throws CallRefused if there is none.
  static std::string writerToken(const nlohmann::json& value);
};

} // namespace sycamore::platform

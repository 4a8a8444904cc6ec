#pragma once

#include <base/Time.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace sycamore::platform_stub {

// The platform's objects. An object's version is the revision of its last write. Revisions count
// all writes, so a version is not reused after a deletion. Thread-safe.
class ObjectTable
{
public:
  struct WriteResult
  {
    bool isApplied = false;
    // The new object or, if the write was refused, the current one (version 0 and null value if
    // absent).
    nlohmann::json object;
  };

  // Returns the object, or null if there is none.
  nlohmann::json get(const std::string& kind, const std::string& name) const;

  // Returns {"revision", "objects"}.
  nlohmann::json list(const std::string& kind) const;

  // Writes only if the current version is the expected one; 0 means that the object must not exist.
  WriteResult put(const std::string& kind,
                  const std::string& name,
                  std::uint64_t expectedVersion,
                  nlohmann::json value);
  WriteResult remove(const std::string& kind,
                     const std::string& name,
                     std::uint64_t expectedVersion);

  std::uint64_t revision() const;

  // Waits until the kind has changes after the revision, the deadline passes or cancelled() holds.
  // Returns {"revision", "objects", "deleted"}.
  nlohmann::json watch(const std::string& kind,
                       std::uint64_t after,
                       base::TimePoint deadline,
                       const std::function<bool()>& cancelled);

private:
  struct Object
  {
    std::uint64_t version = 0;
    nlohmann::json value;
  };
  struct Kind
  {
    std::map<std::string, Object> objects;
    std::map<std::string, std::uint64_t> deletions;
    std::uint64_t revision = 0;
  };

  static nlohmann::json toJson(const std::string& kind,
                               const std::string& name,
                               const Object& object);
  const Object* find(const std::string& kind, const std::string& name) const;
  nlohmann::json changesAfter(const std::string& kind, std::uint64_t after) const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Kind> kinds_;
  std::uint64_t revision_ = 0;
};

} // namespace sycamore::platform_stub

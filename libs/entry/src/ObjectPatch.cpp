#include <entry/ObjectPatch.h>

#include <wire/WireError.h>

#include <nlohmann/json.hpp>

namespace sycamore::entry {

namespace {

using Json = nlohmann::json;

Json mergePatchOf(const Json& from, const Json& to)
{
  Json patch = Json::object();
  for (const auto& [key, value] : from.items()) {
    if (!to.contains(key)) {
      patch[key] = nullptr;
    }
  }
  for (const auto& [key, value] : to.items()) {
    const auto known = from.find(key);
    if (known == from.end()) {
      patch[key] = value;
    } else if (*known != value) {
      patch[key] = known->is_object() && value.is_object() ? mergePatchOf(*known, value) : value;
    }
  }
  return patch;
}

// Splits a merge patch into smaller ones. An object in a patch can be divided between patches,
// since each adds its members to the target.
class PatchSplitter
{
public:
  explicit PatchSplitter(std::size_t maxBytes)
    : maxBytes_(maxBytes)
  {
  }

  std::vector<Json> split(const Json& patch)
  {
    std::vector<std::string> path;
    addMembers(patch, path);
    return std::move(parts_);
  }

private:
  void addMembers(const Json& object, std::vector<std::string>& path)
  {
    for (const auto& [key, value] : object.items()) {
      path.push_back(key);
      const std::size_t size = value.dump().size() + key.size();
      if (size > maxBytes_ && value.is_object()) {
        addMembers(value, path);
      } else {
        addValue(value, path, size);
      }
      path.pop_back();
    }
  }

  void addValue(const Json& value, const std::vector<std::string>& path, std::size_t size)
  {
    if (parts_.empty() || bytes_ + size > maxBytes_) {
      parts_.push_back(Json::object());
      bytes_ = 0;
    }
    bytes_ += size;
    Json* target = &parts_.back();
    for (const std::string& key : path) {
      target = &(*target)[key];
    }
    *target = value;
  }

  std::size_t maxBytes_;
  // Bytes of the last part.
  std::size_t bytes_ = 0;
  std::vector<Json> parts_;
};

} // namespace

std::vector<ObjectPatch> diffObjects(const wire::StoreObject& from,
                                     const wire::StoreObject& to,
                                     std::size_t maxBytes)
{
  const Json before = Json::parse(from.json, nullptr, false);
  const Json after = Json::parse(to.json, nullptr, false);
  if (!before.is_object() || !after.is_object()) {
    return {};
  }
  std::vector<ObjectPatch> patches;
  Json patched = before;
  for (const Json& part : PatchSplitter(maxBytes).split(mergePatchOf(before, after))) {
    patched.merge_patch(part);
    patches.push_back({ to.name, from.revision, to.revision, to.deleting, part.dump() });
  }
  // A merge patch can't set a value to null.
  return patched == after ? patches : std::vector<ObjectPatch>();
}

wire::StoreObject applyPatches(const wire::StoreObject& from,
                               const std::vector<ObjectPatch>& patches)
{
  try {
    wire::StoreObject result = from;
    Json json = Json::parse(from.json);
    for (const ObjectPatch& patch : patches) {
      json.merge_patch(Json::parse(patch.mergePatch));
      result.revision = patch.revision;
      result.deleting = patch.deleting;
    }
    result.json = json.dump();
    return result;
  } catch (const Json::exception& error) {
    throw wire::WireError("patch of " + from.name + ": " + error.what());
  }
}

} // namespace sycamore::entry

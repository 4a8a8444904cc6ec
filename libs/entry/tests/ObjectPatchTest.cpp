#include <entry/ObjectChange.h>

#include <StoreTexts.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

using namespace sycamore;
using namespace sycamore::entry;
using namespace sycamore::wire::testing;

namespace {

constexpr std::size_t kMaxBytes = 1000;

wire::StoreObject configuration(std::uint64_t revision, std::size_t routes, double timeout)
{
  return wire::readObject(configurationObject(revision, revision, routes, timeout));
}

ObjectChange changeOf(const wire::StoreObject& from, const wire::StoreObject& to)
{
  ObjectChange change{ wire::Kind::Configuration, { from.revision, to.revision }, {} };
  change.events = { { to, false } };
  change.replaced = { { from.name, from } };
  return change;
}

wire::StoreObject applyReversed(const wire::StoreObject& from, const ObjectChange& change)
{
  std::vector<ObjectPatch> patches;
  for (const ObjectChange& part : splitChange(change)) {
    patches.insert(patches.end(), part.patches.begin(), part.patches.end());
  }
  std::ranges::reverse(patches);
  return applyPatches(from, patches);
}

} // namespace

// Guards against a long configuration that every VM reads from the store for each change.
TEST_CASE("one changed route of a long configuration fits into one message")
{
  const auto before = configuration(4, 1400, 2);
  const auto after = configuration(5, 1400, 3);
  const auto parts = splitChange(changeOf(before, after));
  REQUIRE(parts.size() == 1);
  CHECK(parts[0].patches[0].mergePatch.size() < 200);
  const auto applied = applyPatches(before, parts[0].patches);
  CHECK(applied.json == after.json);
  CHECK(applied.revision == 5);
}

TEST_CASE("added and removed routes reach the same object in any order of the parts")
{
  for (const auto& [from, to] : { std::pair{ 40, 120 }, std::pair{ 120, 40 } }) {
    const auto before = configuration(4, from, 2);
    const auto after = configuration(5, to, 3);
    CHECK(applyReversed(before, changeOf(before, after)).json == after.json);
    for (const ObjectChange& part : splitChange(changeOf(before, after))) {
      for (const ObjectPatch& patch : part.patches) {
        CHECK(patch.mergePatch.size() < kMaxBytes * 3 / 2);
      }
    }
  }
}

TEST_CASE("a change that doesn't fit into messages isn't split")
{
  const auto before = configuration(4, 10, 2);
  CHECK(splitChange(changeOf(before, configuration(5, 1400, 2))).empty());
  ObjectChange withoutBasis = changeOf(before, configuration(5, 1400, 2));
  withoutBasis.replaced.clear();
  CHECK(splitChange(withoutBasis).empty());
}

TEST_CASE("a difference that a merge patch can't express gives no patch")
{
  const wire::StoreObject before{ "x", 1, false, R"({"a":1})" };
  CHECK(diffObjects(before, { "x", 2, false, R"({"a":null})" }, kMaxBytes).empty());
  CHECK(diffObjects(before, { "x", 2, false, "[]" }, kMaxBytes).empty());
}

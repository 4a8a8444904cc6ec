#include <configuration/StoredValue.h>

#include <doctest/doctest.h>

using sycamore::configuration::StoredValue;

// Guards against a missing writer token, without which a lost answer couldn't be resolved.
TEST_CASE("a stored value keeps its writer tokens when it is serialized, parsed and deleted")
{
  const auto created = StoredValue().changedTo(R"({"domain":"a"})", "vm/1");
  const auto read = StoredValue::parse(created.serialize());
  CHECK(read.document() == R"({"domain":"a"})");
  const auto deleted = StoredValue::parse(read.deletedBy("vm/2").serialize());
  CHECK(deleted.isDeleted());
  CHECK(deleted.document().empty());
  CHECK(deleted.writers() == std::vector<std::string>{ "vm/2", "vm/1" });
}

// Guards against stored values that grow with each change.
TEST_CASE("a stored value keeps a bounded number of writer tokens")
{
  StoredValue value;
  for (int i = 0; i < 20; ++i) {
    value = value.changedTo("{}", "vm/" + std::to_string(i));
  }
  CHECK(value.writers().size() == StoredValue::kMaxWriters);
  CHECK(value.writtenBy("vm/19"));
}

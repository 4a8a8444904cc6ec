#include <dispatch/DeletedObjects.h>

#include <doctest/doctest.h>

using namespace sycamore::dispatch;

// Guards against sending requests to a server that has left because an outdated replica of the
// store still returned its entry.
TEST_CASE("a state from before an object's deletion is outdated, one of a new object isn't")
{
  DeletedObjects deleted;
  CHECK_FALSE(deleted.isOutdated("server", 5));
  deleted.onDeleted("server", 8);
  CHECK(deleted.isOutdated("server", 5));
  CHECK(deleted.isOutdated("server", 8));
  CHECK_FALSE(deleted.isOutdated("server", 9));
  CHECK_FALSE(deleted.isOutdated("other", 5));
  deleted.onDeleted("server", 12);
  CHECK(deleted.isOutdated("server", 12));
}

TEST_CASE("an object that a list doesn't contain has been deleted")
{
  DeletedObjects deleted;
  deleted.onListed(20);
  CHECK(deleted.isOutdated("any", 20));
  CHECK_FALSE(deleted.isOutdated("any", 21));
  deleted.onListed(10);
  CHECK(deleted.isOutdated("any", 20));
}

TEST_CASE("the number of remembered deletions is bounded, and the newest are kept")
{
  DeletedObjects deleted;
  for (unsigned i = 1; i <= 20000; ++i) {
    deleted.onDeleted("server-" + std::to_string(i), i);
  }
  CHECK_FALSE(deleted.isOutdated("server-1", 1));
  CHECK(deleted.isOutdated("server-20000", 20000));
}

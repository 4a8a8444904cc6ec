#include <dispatch/ListPages.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;

namespace {

constexpr base::TimePoint kStart{ std::chrono::seconds(100) };

} // namespace

TEST_CASE("a list continues after the last name of each page until there are no more")
{
  ListPages list({});
  list.begin(kStart);
  CHECK(list.after().empty());
  CHECK(list.onPage(true, "b", kStart) == ListStep::ReadNext);
  CHECK(list.after() == "b");
  CHECK(list.onPage(true, "d", kStart) == ListStep::ReadNext);
  CHECK(list.onPage(false, "", kStart) == ListStep::Complete);
  CHECK(list.pages() == 3);
}

// Guards against pages that are read again without end.
TEST_CASE("a list ends incomplete when the store returns a page again")
{
  ListPages list({});
  list.begin(kStart);
  CHECK(list.onPage(true, "b", kStart) == ListStep::ReadNext);
  CHECK(list.onPage(true, "d", kStart) == ListStep::ReadNext);
  CHECK(list.onPage(true, "b", kStart) == ListStep::NoProgress);
  // The next list may read the same names again.
  list.begin(kStart);
  CHECK(list.onPage(true, "b", kStart) == ListStep::ReadNext);
}

TEST_CASE("a list ends incomplete at a page without a name to continue from")
{
  ListPages list({});
  list.begin(kStart);
  CHECK(list.onPage(true, "", kStart) == ListStep::NoName);
}

TEST_CASE("a list ends incomplete beyond its pages or its time")
{
  ListPages list({ 3, std::chrono::seconds(30) });
  list.begin(kStart);
  CHECK(list.onPage(true, "a", kStart) == ListStep::ReadNext);
  CHECK(list.onPage(true, "b", kStart) == ListStep::ReadNext);
  CHECK(list.onPage(true, "c", kStart) == ListStep::TooManyPages);
  list.begin(kStart);
  CHECK(list.onPage(true, "a", kStart + std::chrono::seconds(29)) == ListStep::ReadNext);
  CHECK(list.onPage(true, "b", kStart + std::chrono::seconds(30)) == ListStep::TooLong);
  list.begin(kStart);
  CHECK(list.onPage(false, "b", kStart + std::chrono::seconds(30)) == ListStep::Complete);
}

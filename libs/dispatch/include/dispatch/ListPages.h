#pragma once

#include <base/Time.h>

#include <cstddef>
#include <set>
#include <string>

namespace sycamore::dispatch {

struct ListPagesSettings
{
  // Pages and time that one list may take. A store that returns new names without end would
  // otherwise be read for ever.
  std::size_t maxPages = 1000;
  base::Duration maxDuration = std::chrono::seconds(30);
};

// What follows a page of a list.
enum class ListStep
{
  // The next page is read, after ListPages::after().
  ReadNext,
  // All objects have been read.
  Complete,
  // The list can't be continued, although there are more objects: no item of the page has a name to
  // continue from, the store returns pages again, or the list has taken too many or too long.
  NoName,
  NoProgress,
  TooManyPages,
  TooLong
};

// Returns a text for the log.
const char* toText(ListStep step);

// Follows a list that the store returns in pages, each of which continues after a name of the one
// before. It makes no assumption on the store's order of names.
class ListPages
{
public:
  explicit ListPages(ListPagesSettings settings)
    : settings_(settings)
  {
  }

  // Begins a list at its first page.
  void begin(base::TimePoint now);

  // A page was read. `last` is the name of its last item from which the list can continue, empty if
  // there is none.
  ListStep onPage(bool hasMore, const std::string& last, base::TimePoint now);

  // Returns the name after which the next page begins, empty for the first one.
  const std::string& after() const { return after_; }
  std::size_t pages() const { return pages_; }

private:
  ListPagesSettings settings_;
  base::TimePoint deadline_{};
  std::string after_;
  std::size_t pages_ = 0;
  // Names after which pages of this list were read.
  std::set<std::string> former_;
};

} // namespace sycamore::dispatch

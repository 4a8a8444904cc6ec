#include <dispatch/ListPages.h>

namespace sycamore::dispatch {

const char* toText(ListStep step)
{
  switch (step) {
    case ListStep::ReadNext:
      return "there are more pages";
    case ListStep::Complete:
      return "complete";
    case ListStep::NoName:
      return "no item of the page has a name to continue from";
    case ListStep::NoProgress:
      return "the store returned a page again";
    case ListStep::TooManyPages:
      return "the list has too many pages";
    case ListStep::TooLong:
      return "the list takes too long";
  }
  return "unknown";
}

void ListPages::begin(base::TimePoint now)
{
  deadline_ = now + settings_.maxDuration;
  after_.clear();
  pages_ = 0;
  former_.clear();
}

ListStep ListPages::onPage(bool hasMore, const std::string& last, base::TimePoint now)
{
  ++pages_;
  if (!hasMore) {
    return ListStep::Complete;
  }
  if (last.empty()) {
    return ListStep::NoName;
  }
  if (!former_.insert(last).second) {
    return ListStep::NoProgress;
  }
  if (pages_ >= settings_.maxPages) {
    return ListStep::TooManyPages;
  }
  if (now >= deadline_) {
    return ListStep::TooLong;
  }
  after_ = last;
  return ListStep::ReadNext;
}

} // namespace sycamore::dispatch

#include <entry/ObjectChange.h>

namespace sycamore::entry {

namespace {

// Content of one part, below the payload of an Ethernet frame with room for names and numbers.
constexpr std::size_t kPartBytes = 1200;
// Larger objects go in no message: a fragmented datagram is lost with any of its fragments.
constexpr std::size_t kLargestObject = 4000;

std::size_t sizeOf(const wire::WatchEvent& event)
{
  return event.deleted ? event.object.name.size() : event.object.json.size();
}

} // namespace

std::vector<ObjectChange> splitChange(const ObjectChange& change)
{
  std::vector<ObjectChange> parts;
  std::size_t used = 0;
  for (const wire::WatchEvent& event : change.events) {
    const std::size_t size = sizeOf(event);
    if (size > kLargestObject) {
      return {};
    }
    if (parts.empty() || used + size > kPartBytes) {
      parts.push_back({ change.kind, change.part, {} });
      used = 0;
    }
    parts.back().events.push_back(event);
    used += size;
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].part.part = static_cast<unsigned>(i);
    parts[i].part.parts = static_cast<unsigned>(parts.size());
  }
  return parts;
}

} // namespace sycamore::entry

#include <entry/ObjectChange.h>

namespace sycamore::entry {

namespace {

// Maximum size of the objects in one part: less than the payload of an Ethernet frame, to leave
// room for names, numbers and the addresses of a ForwardMessage.
constexpr std::size_t kMaxPartBytes = 1000;
// Larger objects aren't sent: a fragmented datagram is lost with any of its fragments.
constexpr std::size_t kMaxObjectBytes = 4000;

std::size_t sizeOf(const wire::WatchEvent& event)
{
  return event.deleted ? event.object.name.size() : event.object.json.size();
}

} // namespace

std::vector<ObjectChange> splitChange(const ObjectChange& change)
{
  std::vector<ObjectChange> parts;
  std::size_t partBytes = 0;
  for (const wire::WatchEvent& event : change.events) {
    const std::size_t size = sizeOf(event);
    if (size > kMaxObjectBytes) {
      return {};
    }
    if (parts.empty() || partBytes + size > kMaxPartBytes) {
      parts.push_back({ change.kind, change.part, {} });
      partBytes = 0;
    }
    parts.back().events.push_back(event);
    partBytes += size;
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].part.part = static_cast<unsigned>(i);
    parts[i].part.parts = static_cast<unsigned>(parts.size());
  }
  return parts;
}

} // namespace sycamore::entry

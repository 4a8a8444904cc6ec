#include <entry/ObjectChange.h>

#include <algorithm>

namespace sycamore::entry {

namespace {

// Maximum size of the objects in one part: less than the payload of an Ethernet frame, to leave
// room for names, numbers and the addresses of a ForwardMessage.
constexpr std::size_t kMaxPartBytes = 1000;
// Larger objects aren't sent as a whole: a fragmented datagram is lost with any of its fragments.
constexpr std::size_t kMaxObjectBytes = 4000;
// Larger differences aren't sent: the loss of one of so many datagrams is likely, and the links of
// the receivers would be busy for longer than a read from the store takes.
constexpr std::size_t kMaxPatchBytes = 48 * 1024;

std::size_t sizeOf(const wire::WatchEvent& event)
{
  return event.deleted ? event.object.name.size() : event.object.json.size();
}

// Collects objects and patches in parts of about the maximum size.
class PartCollector
{
public:
  explicit PartCollector(const ObjectChange& change)
    : change_(change)
  {
  }

  void add(const wire::WatchEvent& event) { partFor(sizeOf(event)).events.push_back(event); }

  void add(const ObjectPatch& patch)
  {
    partFor(patch.mergePatch.size()).patches.push_back(patch);
    patchBytes_ += patch.mergePatch.size();
  }

  std::size_t patchBytes() const { return patchBytes_; }

  std::vector<ObjectChange> takeParts()
  {
    for (std::size_t i = 0; i < parts_.size(); ++i) {
      parts_[i].part.part = static_cast<unsigned>(i);
      parts_[i].part.parts = static_cast<unsigned>(parts_.size());
    }
    return std::move(parts_);
  }

private:
  ObjectChange& partFor(std::size_t bytes)
  {
    if (parts_.empty() || partBytes_ + bytes > kMaxPartBytes) {
      parts_.push_back({ change_.kind, change_.part, {} });
      partBytes_ = 0;
    }
    partBytes_ += bytes;
    return parts_.back();
  }

  const ObjectChange& change_;
  std::vector<ObjectChange> parts_;
  std::size_t partBytes_ = 0;
  std::size_t patchBytes_ = 0;
};

// Returns the last event of each object, since a watch may bring several states of one.
std::vector<wire::WatchEvent> lastEvents(const std::vector<wire::WatchEvent>& events)
{
  std::map<std::string, wire::WatchEvent> last;
  for (const wire::WatchEvent& event : events) {
    last[event.object.name] = event;
  }
  std::vector<wire::WatchEvent> result;
  for (const auto& [name, event] : last) {
    result.push_back(event);
  }
  return result;
}

} // namespace

std::vector<ObjectChange> splitChange(const ObjectChange& change)
{
  PartCollector collector(change);
  for (const wire::WatchEvent& event : lastEvents(change.events)) {
    if (sizeOf(event) <= kMaxObjectBytes) {
      collector.add(event);
      continue;
    }
    const auto replaced = change.replaced.find(event.object.name);
    if (replaced == change.replaced.end()) {
      return {};
    }
    const auto patches = diffObjects(replaced->second, event.object, kMaxPartBytes);
    std::ranges::for_each(patches, [&collector](const auto& patch) { collector.add(patch); });
    if (patches.empty() || collector.patchBytes() > kMaxPatchBytes) {
      return {};
    }
  }
  return collector.takeParts();
}

} // namespace sycamore::entry

#include <control/PlatformReader.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sycamore::control {

using base::TimePoint;
using nlohmann::json;

namespace {

constexpr base::milliseconds kCallTimeout{ 1000 };
constexpr base::milliseconds kWatchTime{ 10000 };
constexpr base::milliseconds kWatchMargin{ 1500 };
constexpr base::milliseconds kRetryInterval{ 250 };
// The VM list is read every two seconds, and less often if there are many VMs: all VMs together
// read it at most 100 times a second, of the 2,000 reads a second that the platform accepts.
constexpr base::milliseconds kVmListInterval{ 2000 };
constexpr base::milliseconds kVmListPerVm{ 10 };

transport::ClientRequest getRequest(const std::string& path)
{
  transport::ClientRequest request;
  request.method = "GET";
  request.path = path;
  return request;
}

} // namespace

PlatformReader::PlatformReader(ControlContext& context, PlatformListener& listener)
  : context_(context)
  , listener_(listener)
{
  config_.name = "config";
  maps_.name = "shardmap";
}

void PlatformReader::tick(bool isRelay)
{
  const TimePoint now = context_.now();
  if (!vmListBusy_ && now >= nextVmList_) {
    readVmList();
  }
  for (ObjectKind* kind : { &config_, &maps_ }) {
    if (kind->busy || now < kind->nextAt) {
      continue;
    }
    if (!kind->listed) {
      list(*kind);
    } else if (isRelay) {
      watch(*kind);
    }
  }
}

base::Duration PlatformReader::listInterval() const
{
  const auto vms = static_cast<long>(context_.members.peers().size() + 1);
  return std::max<base::Duration>(kVmListInterval, kVmListPerVm * vms);
}

void PlatformReader::readVmList()
{
  vmListBusy_ = true;
  ++context_.counters.platformCalls;
  context_.io.send(context_.platformAddress,
                   getRequest("/vms"),
                   context_.now() + kCallTimeout,
                   [this](const transport::BufferedResponse& response) {
                     vmListBusy_ = false;
                     nextVmList_ = context_.now() + listInterval();
                     recordAnswer(response.ok());
                     if (!response.ok()) {
                       nextVmList_ = context_.now() + kRetryInterval;
                       return;
                     }
                     try {
                       const PlatformVms list = parseVmList(response.body);
                       logUnreadable("VMs", list.unreadable);
                       listener_.onVmList(list.vms);
                     } catch (const json::exception& error) {
                       context_.log(std::string("malformed VM list from the platform: ") +
                                    error.what());
                     }
                   });
}

void PlatformReader::list(ObjectKind& kind)
{
  kind.busy = true;
  ++context_.counters.platformCalls;
  context_.io.send(context_.platformAddress,
                   getRequest("/objects/" + kind.name),
                   context_.now() + kCallTimeout,
                   [this, &kind](const auto& response) { onObjects(kind, true, response); });
}

void PlatformReader::watch(ObjectKind& kind)
{
  kind.busy = true;
  ++context_.counters.platformCalls;
  const std::string path = "/watch/" + kind.name + "?after=" + std::to_string(kind.revision) +
                           "&timeout_ms=" + std::to_string(kWatchTime.count());
  context_.io.send(context_.platformAddress,
                   getRequest(path),
                   context_.now() + kWatchTime + kWatchMargin,
                   [this, &kind](const auto& response) { onObjects(kind, false, response); });
}

void PlatformReader::onObjects(ObjectKind& kind,
                               bool isComplete,
                               const transport::BufferedResponse& response)
{
  kind.busy = false;
  kind.nextAt = context_.now();
  recordAnswer(response.ok());
  if (!response.ok()) {
    kind.nextAt = context_.now() + kRetryInterval;
    // A new list call finds the changes made during the outage.
    kind.listed = false;
    return;
  }
  try {
    const PlatformObjects list = parseObjects(response.body);
    logUnreadable(kind.name, list.unreadable);
    kind.revision = list.revision;
    kind.listed = true;
    if (&kind == &config_) {
      listener_.onConfig(list.objects);
    } else {
      listener_.onMaps(list.objects, isComplete);
    }
  } catch (const json::exception& error) {
    context_.log("malformed list of " + kind.name + ": " + error.what());
    kind.nextAt = context_.now() + kRetryInterval;
  }
}

void PlatformReader::logUnreadable(const std::string& kind, std::size_t items)
{
  if (items > 0) {
    context_.log("left out " + std::to_string(items) + " items of the platform's list of " + kind +
                 " that can't be read");
  }
}

void PlatformReader::recordAnswer(bool answered)
{
  if (!answered) {
    ++context_.counters.platformFailures;
  }
  if (!reachabilityKnown_ || answered != reachable_) {
    context_.log(answered ? "platform is reachable" : "platform is not reachable");
  }
  if (answered && !reachable_) {
    // The last VM list may date from before the outage.
    nextVmList_ = context_.now();
  }
  reachabilityKnown_ = true;
  reachable_ = answered;
}

} // namespace sycamore::control

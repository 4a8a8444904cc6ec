#include <admission/FairQueue.h>

#include <algorithm>

namespace sycamore::admission {

FairQueue::FairQueue(FairQueueSettings settings)
  : settings_(settings)
{
}

PushResult FairQueue::push(QueuedWork work, const ServiceEstimate& estimate, base::TimePoint now)
{
  PushResult result;
  const base::Duration wait =
    estimate.dispatchInterval * static_cast<std::int64_t>(queuePosition(work.flow) + 1);
  if (now + wait + estimate.serviceTime > work.deadline || wait > work.maxWait) {
    result.waitTooLong = true;
    result.retryAfter = wait;
    return result;
  }
  if (!makeRoom(work, result.evicted)) {
    result.retryAfter = estimate.dispatchInterval * static_cast<std::int64_t>(length_);
    return result;
  }
  append(std::move(work));
  result.queued = true;
  return result;
}

const QueuedWork* FairQueue::front(base::TimePoint now) const
{
  for (const Flow& flow : flows_) {
    for (const QueuedWork& work : flow.work) {
      if (work.deadline > now) {
        return &work;
      }
    }
  }
  return nullptr;
}

std::optional<QueuedWork> FairQueue::pop(base::TimePoint now)
{
  const QueuedWork* const next = front(now);
  if (next == nullptr) {
    return std::nullopt;
  }
  const auto flow = byName_.at(next->flow);
  const auto work = std::find_if(
    flow->work.begin(), flow->work.end(), [next](const auto& item) { return &item == next; });
  // The flow is served again only after all others.
  flows_.splice(flows_.end(), flows_, flow);
  return take(flow, work);
}

std::vector<QueuedWork> FairQueue::takeExpired(base::TimePoint now)
{
  std::vector<QueuedWork> expired;
  if (deadlines_.empty() || *deadlines_.begin() > now) {
    return expired;
  }
  for (auto flow = flows_.begin(); flow != flows_.end();) {
    const auto current = flow++;
    for (std::size_t rest = current->work.size(), i = 0; rest > 0; --rest) {
      const auto work = std::next(current->work.begin(), static_cast<std::ptrdiff_t>(i));
      if (work->deadline <= now) {
        expired.push_back(take(current, work));
      } else {
        ++i;
      }
    }
  }
  return expired;
}

std::vector<QueuedWork> FairQueue::takeAll()
{
  std::vector<QueuedWork> all;
  while (!flows_.empty()) {
    const auto flow = flows_.begin();
    flows_.splice(flows_.end(), flows_, flow);
    all.push_back(take(flow, flow->work.begin()));
  }
  return all;
}

bool FairQueue::remove(WorkId id)
{
  for (auto flow = flows_.begin(); flow != flows_.end(); ++flow) {
    for (auto work = flow->work.begin(); work != flow->work.end(); ++work) {
      if (work->id == id) {
        take(flow, work);
        return true;
      }
    }
  }
  return false;
}

std::optional<base::TimePoint> FairQueue::nextDeadline() const
{
  return deadlines_.empty() ? std::nullopt : std::optional(*deadlines_.begin());
}

std::size_t FairQueue::lengthOf(const std::string& flow) const
{
  const auto found = byName_.find(flow);
  return found == byName_.end() ? 0 : found->second->work.size();
}

// Returns how many requests are served before new work of the flow: in each round, one of every
// flow.
std::size_t FairQueue::queuePosition(const std::string& flow) const
{
  const std::size_t own = lengthOf(flow);
  std::size_t before = own;
  for (const Flow& other : flows_) {
    before += other.name == flow ? 0 : std::min(other.work.size(), own + 1);
  }
  return before;
}

bool FairQueue::fits(std::size_t length, std::size_t bytes) const
{
  return length <= settings_.maxLength && bytes <= settings_.maxBytes;
}

// Evicts at most one request, the newest of the longest flow, and only if that makes enough room.
bool FairQueue::makeRoom(const QueuedWork& work, std::vector<QueuedWork>& evicted)
{
  if (fits(length_ + 1, bytes_ + work.bytes)) {
    return true;
  }
  const auto longest =
    std::max_element(flows_.begin(), flows_.end(), [](const Flow& a, const Flow& b) {
      return a.work.size() < b.work.size();
    });
  if (longest == flows_.end() || longest->work.size() <= lengthOf(work.flow) + 1) {
    return false;
  }
  const auto newest = std::prev(longest->work.end());
  if (!fits(length_, bytes_ - newest->bytes + work.bytes)) {
    return false;
  }
  evicted.push_back(take(longest, newest));
  return true;
}

void FairQueue::append(QueuedWork work)
{
  auto found = byName_.find(work.flow);
  if (found == byName_.end()) {
    const auto flow = flows_.insert(flows_.end(), Flow{ work.flow, {} });
    found = byName_.emplace(work.flow, flow).first;
  }
  ++length_;
  deadlines_.insert(work.deadline);
  bytes_ += work.bytes;
  found->second->work.push_back(std::move(work));
}

QueuedWork FairQueue::take(Flows::iterator flow, std::list<QueuedWork>::iterator work)
{
  QueuedWork taken = std::move(*work);
  flow->work.erase(work);
  --length_;
  deadlines_.erase(deadlines_.find(taken.deadline));
  bytes_ -= taken.bytes;
  if (flow->work.empty()) {
    byName_.erase(flow->name);
    flows_.erase(flow);
  }
  return taken;
}

} // namespace sycamore::admission

#include <entry/RequestInput.h>

#include <utility>

namespace sycamore::entry {

RequestInput::RequestInput(const BufferQuota& quota)
  : quota_(quota)
  , memory_(quota_.reserve())
{
}

bool RequestInput::tryAppend(std::string_view bytes, base::TimePoint now)
{
  if (hasEnded_) {
    return true;
  }
  if (!memory_.tryAdd(bytes.size())) {
    return false;
  }
  arrivals_.onBytes(bytes.size(), now);
  arrivedBytes_ += bytes.size();
  unread_.append(bytes);
  hasNewBytes_ = true;
  return true;
}

ReadState RequestInput::parse(const dispatch::CallerLimits& limits, base::TimePoint now)
{
  if (isComplete_) {
    return ReadState::Done;
  }
  if (!hasNewBytes_) {
    return ReadState::NeedMore;
  }
  hasNewBytes_ = false;
  beginIfBytes(limits, now);
  const bool hadHeaders = reader_.headerDone();
  const ReadState state = reader_.feed(unread_);
  if (state == ReadState::NeedMore && reader_.headerDone() && !hadHeaders) {
    deadline_ = now + limits.idleTimeout;
  }
  isComplete_ = state == ReadState::Done;
  return state;
}

void RequestInput::beginIfBytes(const dispatch::CallerLimits& limits, base::TimePoint now)
{
  if (hasBegun_) {
    return;
  }
  hasBegun_ = true;
  continueSent_ = false;
  reader_.start(limits.headerBytes, limits.bodyBytes);
  beganAt_ = arrivals_.timeOf(arrivedBytes_ - unread_.size());
  deadline_ = now + limits.headerTimeout;
}

ReceivedRequest RequestInput::take()
{
  ReceivedRequest received{ reader_.take(),
                            beganAt_,
                            memory_.take(memory_.bytes() - unread_.size()) };
  hasBegun_ = false;
  isComplete_ = false;
  hasNewBytes_ = !unread_.empty();
  return received;
}

void RequestInput::end()
{
  hasEnded_ = true;
  isComplete_ = false;
  hasNewBytes_ = false;
  unread_.clear();
  unread_.shrink_to_fit();
  reader_.clear();
  memory_.clear();
}

base::TimePoint RequestInput::deadline() const
{
  return isReceiving() && hasBegun_ ? deadline_ : base::TimePoint::max();
}

bool RequestInput::expectsContinue() const
{
  return isReceiving() && hasBegun_ && !continueSent_ && reader_.headerDone() &&
         base::equalFieldNames(reader_.message().fields.valueOf("Expect"), "100-continue");
}

void RequestInput::onContinueSent(const dispatch::CallerLimits& limits, base::TimePoint now)
{
  continueSent_ = true;
  deadline_ = now + limits.idleTimeout;
}

} // namespace sycamore::entry

#include <entry/PipelinedAnswers.h>

#include <utility>

namespace sycamore::entry {

PipelinedAnswers::PipelinedAnswers(const BufferQuota& pipelineMemory,
                                   const BufferQuota& answerMemory)
  : pipelineMemory_(pipelineMemory)
  , answerMemory_(answerMemory)
{
}

BeginDecision PipelinedAnswers::decide(dispatch::Repeatability repeatability) const
{
  if (open_.empty()) {
    return BeginDecision::Begin;
  }
  if (repeatability == dispatch::Repeatability::AtMostOnce ||
      open_.back().repeatability == dispatch::Repeatability::AtMostOnce) {
    return BeginDecision::AwaitAnswers;
  }
  const bool hasRoom = open_.size() < kMaxOpenRequests && waitingBytes_ <= kMaxWaitingBytes &&
                       answerMemory_.used() <= answerMemory_.limit() / 2 &&
                       pipelineMemory_.hasRoomFor(kRequestBytes);
  return hasRoom ? BeginDecision::Begin : BeginDecision::AwaitRoom;
}

RequestNumber PipelinedAnswers::begin(bool headOnly, BufferReservation memory)
{
  OpenRequest request;
  request.headOnly = headOnly;
  request.memory = std::move(memory);
  if (!open_.empty()) {
    request.pipelineMemory = pipelineMemory_.reserve();
    request.pipelineMemory.tryAdd(kRequestBytes);
  }
  open_.push_back(std::move(request));
  return static_cast<RequestNumber>(first_ + open_.size() - 1);
}

void PipelinedAnswers::setRepeatability(RequestNumber number, dispatch::Repeatability repeatability)
{
  if (OpenRequest* const request = find(number)) {
    request->repeatability = repeatability;
  }
}

void PipelinedAnswers::onAnswer(RequestNumber number, CallerAnswer answer)
{
  OpenRequest* const request = find(number);
  if (request == nullptr || request->isAnswered) {
    return;
  }
  request->isAnswered = true;
  request->answerBytes = answer.headers.size() + answer.body.size();
  request->answer = std::move(answer);
  waitingBytes_ += request->answerBytes;
}

std::optional<PipelinedAnswers::Next> PipelinedAnswers::takeNext()
{
  if (open_.empty() || !open_.front().answer) {
    return std::nullopt;
  }
  Next next{ std::move(*open_.front().answer), open_.front().headOnly, open_.size() == 1 };
  open_.front().answer.reset();
  return next;
}

void PipelinedAnswers::pop()
{
  waitingBytes_ -= open_.front().answerBytes;
  open_.erase(open_.begin());
  ++first_;
}

PipelinedAnswers::OpenRequest* PipelinedAnswers::find(RequestNumber number)
{
  const std::uint64_t index = static_cast<std::uint64_t>(number) - first_;
  return index < open_.size() ? &open_[index] : nullptr;
}

} // namespace sycamore::entry

#pragma once

#include <entry/BufferQuota.h>
#include <entry/HttpText.h>

#include <dispatch/Configuration.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamore::entry {

// Number of a request on its connection, in the order of arrival.
enum class RequestNumber : std::uint64_t
{
};

// Whether a request that has arrived may be begun.
enum class BeginDecision
{
  Begin,
  // A request in front of it has to be answered first, since one of them is at most once.
  AwaitAnswers,
  // As many requests are open behind one another as may be.
  AwaitRoom
};

// The requests of one connection that were begun and whose answers haven't been written, and the
// order of their answers. Decides which further request may be begun before those in front are
// answered; a request with none in front always may.
//
// - Only idempotent requests are open side by side. An at-most-once request is begun when all
//   answers in front have been written, and nothing is begun before its own has: a caller whose
//   connection ends sends what counts as not read again, whatever its kind.
// - At most kMaxOpenRequests are open on a connection. An answer that is ready holds memory until
//   those in front have been written, and since answers leave in order, more requests side by side
//   bring a caller ever less.
// - None is begun while the answers that wait on the connection take more than kMaxWaitingBytes, or
//   all answers of the process more than half of their quota: a slow reader, or many, must not take
//   the memory by which other callers get their answers.
class PipelinedAnswers
{
public:
  static constexpr std::size_t kMaxOpenRequests = 8;
  static constexpr std::uint64_t kMaxWaitingBytes = 256ULL * 1024;
  // Memory that a request begun behind others is taken to need besides its bytes and its answer's.
  static constexpr std::uint64_t kRequestBytes = 32ULL * 1024;

  // The answer that is to be written next.
  struct Next
  {
    CallerAnswer answer;
    bool headOnly = false;
    // Whether no further request is open behind it.
    bool isLast = false;
  };

  // `pipelineMemory` bounds the requests that all connections have begun behind others.
  // `answerMemory` is the memory of all answers.
  PipelinedAnswers(const BufferQuota& pipelineMemory, const BufferQuota& answerMemory);

  BeginDecision decide(dispatch::Repeatability repeatability) const;

  // Adds a request that is begun. It counts as at most once until setRepeatability().
  RequestNumber begin(bool headOnly, BufferReservation memory = {});
  void setRepeatability(RequestNumber number, dispatch::Repeatability repeatability);

  void onAnswer(RequestNumber number, CallerAnswer answer);

  // Returns the answer to the oldest request; nothing if there is none or it was taken before.
  std::optional<Next> takeNext();
  // Removes the oldest request, whose answer has been taken and written.
  void pop();

  bool empty() const { return open_.empty(); }
  std::size_t size() const { return open_.size(); }

private:
  struct OpenRequest
  {
    dispatch::Repeatability repeatability = dispatch::Repeatability::AtMostOnce;
    bool headOnly = false;
    bool isAnswered = false;
    // Empty until the answer is known, and after it was taken.
    std::optional<CallerAnswer> answer;
    std::uint64_t answerBytes = 0;
    // Memory of the request's bytes, and its share of the pipeline's.
    BufferReservation memory;
    BufferReservation pipelineMemory;
  };

  // Returns the request, or null if its answer has been written.
  OpenRequest* find(RequestNumber number);

  BufferQuota pipelineMemory_;
  BufferQuota answerMemory_;
  std::vector<OpenRequest> open_;
  // Number of the oldest open request.
  std::uint64_t first_ = 0;
  // Size of the answers that are ready or being written.
  std::uint64_t waitingBytes_ = 0;
};

} // namespace sycamore::entry

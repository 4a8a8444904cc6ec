#include "QueueModel.h"

#include <algorithm>

namespace sycamore::dispatch {

namespace {

base::Duration fromSeconds(double value)
{
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(value));
}

} // namespace

QueueModel::QueueModel(std::vector<RequestClass> classes, unsigned slots, Rule rule)
  : classes_(std::move(classes))
  , slots_(slots)
  , rule_(std::move(rule))
  , load_(slots, classes_.front().work)
  , outcomes_(classes_.size())
{
}

std::vector<ClassOutcome> QueueModel::simulate(unsigned requests, std::uint64_t seed)
{
  std::mt19937_64 random(seed);
  double total = 0;
  std::vector<double> weights;
  for (const RequestClass& type : classes_) {
    total += type.perSecond;
    weights.push_back(type.perSecond);
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  std::exponential_distribution<double> interval(total);
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  base::TimePoint now{ std::chrono::seconds(1000) };
  for (unsigned i = 0; i < requests; ++i) {
    now += fromSeconds(interval(random));
    finishUntil(now);
    const std::size_t type = pick(random);
    const double factor = spread(random);
    ++outcomes_[type].received;
    if (!rule_(classes_[type], load_, now)) {
      ++outcomes_[type].refused;
      continue;
    }
    waiting_.push_back(
      { type, now, std::chrono::duration_cast<base::Duration>(classes_[type].work * factor) });
    load_.onRequestSent();
    startWaiting(now);
  }
  return outcomes_;
}

void QueueModel::finishUntil(base::TimePoint time)
{
  while (true) {
    const auto next =
      std::min_element(running_.begin(), running_.end(), [](const Running& a, const Running& b) {
        return a.ends < b.ends;
      });
    if (next == running_.end() || next->ends > time) {
      return;
    }
    const Running done = *next;
    running_.erase(next);
    finish(done);
    startWaiting(done.ends);
  }
}

void QueueModel::startWaiting(base::TimePoint now)
{
  while (running_.size() < slots_ && !waiting_.empty()) {
    const Waiting request = waiting_.front();
    waiting_.pop_front();
    if (now >= request.sent + classes_[request.type].timeout) {
      // The caller has timed out.
      ++outcomes_[request.type].failed;
      load_.onRequestEnded();
      continue;
    }
    running_.push_back({ request, now + request.work });
  }
}

void QueueModel::finish(const Running& running)
{
  const RequestClass& type = classes_[running.request.type];
  const base::Duration took = running.ends - running.request.sent;
  const LoadReport report{
    static_cast<unsigned>(running_.size()), static_cast<unsigned>(waiting_.size()), slots_, 1
  };
  load_.onRequestExecuted(took, report);
  load_.onLoadReport(report, running.ends);
  ClassOutcome& outcome = outcomes_[running.request.type];
  if (took <= type.target) {
    ++outcome.inTarget;
  } else if (took <= type.timeout) {
    ++outcome.late;
  } else {
    ++outcome.failed;
  }
}

double valueShare(const std::vector<RequestClass>& classes,
                  const std::vector<ClassOutcome>& outcomes)
{
  double earned = 0;
  double owed = 0;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    earned += classes[i].value * (outcomes[i].inTarget + 0.1 * outcomes[i].late);
    owed += classes[i].value * outcomes[i].received;
  }
  return earned / owed;
}

} // namespace sycamore::dispatch

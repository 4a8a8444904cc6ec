#include <entry/IdleConnections.h>

#include <algorithm>

namespace sycamore::entry {

std::shared_ptr<ServerConnection> IdleConnections::take(base::TimePoint now)
{
  while (!list_->empty()) {
    auto connection = list_->back();
    list_->pop_back();
    if (connection->open() && now < connection->reusableUntil()) {
      return connection;
    }
    connection->abandon();
  }
  return nullptr;
}

bool IdleConnections::hasReusable(base::TimePoint now) const
{
  return std::ranges::any_of(*list_, [now](const auto& connection) {
    return connection->open() && now < connection->reusableUntil();
  });
}

void IdleConnections::put(const std::shared_ptr<ServerConnection>& connection)
{
  list_->push_back(connection);
  connection->watchIdle([weak = std::weak_ptr(list_),
                         unaskedAnswers = unaskedAnswers_,
                         raw = connection.get()](std::size_t receivedBytes) {
    *unaskedAnswers += receivedBytes > 0 ? 1 : 0;
    if (const auto list = weak.lock()) {
      std::erase_if(*list, [raw](const auto& idle) { return idle.get() == raw; });
    }
  });
}

std::size_t IdleConnections::closeAll()
{
  return closeUnconfirmedSince(base::TimePoint::max());
}

std::size_t IdleConnections::closeUnconfirmedSince(base::TimePoint sentAt)
{
  return std::erase_if(*list_, [sentAt](const auto& connection) {
    if (connection->lastAnswerAt() >= sentAt) {
      return false;
    }
    connection->abandon();
    return true;
  });
}

} // namespace sycamore::entry

#pragma once

#include <entry/ServerConnection.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace sycamore::entry {

// Open idle connections to one address. A connection that ends while idle is removed.
class IdleConnections
{
public:
  // Removes and returns the most recently used connection that can be reused; null if there is
  // none.
  std::shared_ptr<ServerConnection> take(base::TimePoint now);

  // Returns whether there is a connection that can be reused.
  bool hasReusable(base::TimePoint now) const;

  void put(const std::shared_ptr<ServerConnection>& connection);

  // Returns how many connections ended because bytes arrived that no call had asked for.
  std::size_t unaskedAnswers() const { return *unaskedAnswers_; }

  // Closes all connections. Returns their number.
  std::size_t closeAll();

  // Closes the connections that have shown no sign of life since a call was sent that went
  // unanswered: what silenced its connection may have silenced them too. Returns their number.
  std::size_t closeUnconfirmedSince(base::TimePoint sentAt);

private:
  using List = std::vector<std::shared_ptr<ServerConnection>>;

  // Shared with the connections' idle listeners, which may outlive this object.
  std::shared_ptr<List> list_ = std::make_shared<List>();
  std::shared_ptr<std::size_t> unaskedAnswers_ = std::make_shared<std::size_t>(0);
};

} // namespace sycamore::entry

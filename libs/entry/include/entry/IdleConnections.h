#pragma once

#include <entry/ServerConnection.h>

#include <memory>
#include <vector>

namespace sycamore::entry {

// Open connections to one address that wait for their next use. A connection that ends meanwhile
// leaves by itself.
class IdleConnections
{
public:
  // The connection that was used last and can be used again; null if there is none.
  std::shared_ptr<ServerConnection> take(base::TimePoint now);

  void put(const std::shared_ptr<ServerConnection>& connection);

  // Ends all of them.
  void drop();

private:
  using List = std::vector<std::shared_ptr<ServerConnection>>;

  // Shared with the connections' watches, which may outlive this object.
  std::shared_ptr<List> list_ = std::make_shared<List>();
};

} // namespace sycamore::entry

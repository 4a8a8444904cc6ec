#pragma once

#include <router/RoutingTable.h>

#include <atomic>
#include <memory>

namespace sycamore::router {

// Publishes the newest routing table from the control thread to traffic threads. Readers may keep
// the table that they loaded for as long as they need it, and never wait. Thread-safe.
class RoutingPublisher
{
public:
  std::shared_ptr<const RoutingTable> current() const { return table_.load(); }
  void publish(std::shared_ptr<const RoutingTable> table) { table_.store(std::move(table)); }

private:
  std::atomic<std::shared_ptr<const RoutingTable>> table_{ std::make_shared<const RoutingTable>() };
};

} // namespace sycamore::router

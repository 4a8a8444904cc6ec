#pragma once

#include <router/RoutingTable.h>

#include <atomic>
#include <memory>

namespace sycamore::router {

// Hands the newest routing table from the control thread to traffic threads. Readers keep the
// table they got for as long as they need it and never wait. Safe from all threads.
class RoutingPublisher
{
public:
  std::shared_ptr<const RoutingTable> current() const { return table_.load(); }
  void publish(std::shared_ptr<const RoutingTable> table) { table_.store(std::move(table)); }

private:
  std::atomic<std::shared_ptr<const RoutingTable>> table_{ std::make_shared<const RoutingTable>() };
};

} // namespace sycamore::router

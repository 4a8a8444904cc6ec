#pragma once

#include <Deployment.h>

// Stands between the entry VMs and the stand-in of the store, whose lists it returns in pages. It
// decodes names in calls as web servers do, and refuses what isn't a request.
class PagingStore
{
public:
  // `address` is the store's, `pageSize` the number of objects on a page.
  PagingStore(const std::string& address, std::size_t pageSize);
  ~PagingStore() { listening_.stop(); }
  PagingStore(const PagingStore&) = delete;
  PagingStore& operator=(const PagingStore&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(listening_.port()); }
  // Returns the number of calls for a page of a list so far, and of calls that were refused.
  int lists() const { return lists_; }
  int refusals() const { return refusals_; }

private:
  void serve(review::Channel& channel);
  std::string answer(const review::Message& request, review::Channel& store);

  int storePort_;
  std::size_t pageSize_;
  std::atomic<int> lists_{ 0 };
  std::atomic<int> refusals_{ 0 };
  review::Listening listening_;
};

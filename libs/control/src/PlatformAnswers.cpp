#include <control/PlatformAnswers.h>

#include <nlohmann/json.hpp>

namespace sycamore::control {

using nlohmann::json;

namespace {

membership::ListedVm vmOf(const json& item)
{
  membership::ListedVm vm;
  vm.id = item.at("id").get<std::string>();
  vm.role = item.at("role") == "backend" ? membership::Role::Backend : membership::Role::Entry;
  vm.address = item.value("address", "");
  vm.peerAddress = item.value("peer_address", "");
  vm.domain = base::DomainId(item.value("domain", ""));
  vm.service = base::ServiceId(item.value("service", ""));
  vm.state = item.value("state", "live") == "leaving" ? membership::ListedState::Leaving
                                                      : membership::ListedState::Live;
  return vm;
}

PlatformObject objectOf(const json& item)
{
  return { item.at("name").get<std::string>(),
           base::Version(item.at("version").get<std::uint64_t>()),
           item.at("value").dump() };
}

// Reads each item by itself, and returns the number of those that can't be read.
template<typename Item>
std::size_t readItems(const json& items, Item (*read)(const json&), std::vector<Item>& result)
{
  std::size_t unreadable = 0;
  for (const json& item : items) {
    try {
      result.push_back(read(item));
    } catch (const json::exception&) {
      ++unreadable;
    }
  }
  return unreadable;
}

} // namespace

PlatformVms parseVmList(const std::string& body)
{
  PlatformVms list;
  list.unreadable = readItems(json::parse(body).at("vms"), vmOf, list.vms);
  return list;
}

PlatformObjects parseObjects(const std::string& body)
{
  const json answer = json::parse(body);
  PlatformObjects list;
  list.unreadable = readItems(answer.at("objects"), objectOf, list.objects);
  list.revision = answer.at("revision").get<std::uint64_t>();
  return list;
}

} // namespace sycamore::control

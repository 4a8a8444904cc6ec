#pragma once

#include <base/Ids.h>
#include <membership/MemberTable.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::control {

// An object of the platform, as returned by a list or a watch call.
struct PlatformObject
{
  std::string name;
  base::Version version;
  // JSON text.
  std::string value;
};

struct PlatformVms
{
  std::vector<membership::ListedVm> vms;
  // Number of items that name no VM, and are left out.
  std::size_t unreadable = 0;
};

struct PlatformObjects
{
  std::vector<PlatformObject> objects;
  // Number of items that aren't objects with a name and a version, and are left out.
  std::size_t unreadable = 0;
  std::uint64_t revision = 0;
};

// Parse the platform's answers to a call for the VMs, and to a list or a watch of objects. They
// throw nlohmann::json::exception if the answer as a whole isn't of the expected form.
PlatformVms parseVmList(const std::string& body);
PlatformObjects parseObjects(const std::string& body);

} // namespace sycamore::control

#pragma once

#include <base/Ids.h>

#include <string>

namespace sycamore::platform {

// A VM in the platform's list, which lags behind.
struct VmRecord
{
  enum class Role
  {
    Entry,
    Backend
  };
  enum class State
  {
    Live,
    Leaving
  };

  // The id of an entry VM; backend servers use the same text as their ServerId.
  std::string id;
  Role role = Role::Entry;
  State state = State::Live;
  base::DomainId domain;
  // Of a backend server.
  base::ServiceId service;
  // "ip:port"; the last two are those of entry VMs and empty otherwise.
  std::string address;
  std::string peerAddress;
  std::string operatorAddress;

  bool operator==(const VmRecord&) const = default;
};

} // namespace sycamore::platform

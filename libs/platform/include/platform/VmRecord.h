#pragma once

#include <base/Ids.h>

#include <string>

namespace sycamore::platform {

// An entry of the platform's list of VMs, which may be out of date.
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
  // Service of a backend server; empty for an entry VM.
  base::ServiceId service;
  // "ip:port"; the peer and operator addresses are empty for backend servers.
  std::string address;
  std::string peerAddress;
  std::string operatorAddress;

  bool operator==(const VmRecord&) const = default;
};

} // namespace sycamore::platform

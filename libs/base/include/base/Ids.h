#pragma once

#include <base/StrongType.h>

#include <cstdint>
#include <string>

namespace sycamore::base {

// Name of an entry VM, unique within a deployment.
using VmId = Strong<std::string, struct VmIdTag>;

// Name of a backend server, unique within a deployment.
using ServerId = Strong<std::string, struct ServerIdTag>;

// Name of a service: lower-case letters, digits and '-', 1 to 63 characters.
using ServiceId = Strong<std::string, struct ServiceIdTag>;

// Name of a method of a service.
using MethodId = Strong<std::string, struct MethodIdTag>;

// Name of a failure domain.
using DomainId = Strong<std::string, struct DomainIdTag>;

// Name of a workspace: a group of callers with keys and a quota of its own.
using WorkspaceId = Strong<std::string, struct WorkspaceIdTag>;

// A caller's key, 1 to 512 bytes.
using Key = Strong<std::string, struct KeyTag>;

// A caller's request id, UUIDv7 text for non-idempotent methods.
using RequestId = Strong<std::string, struct RequestIdTag>;

// Index of a shard of a service. Hot-key overrides take indexes from the shard count upwards.
using ShardId = Strong<std::uint32_t, struct ShardIdTag>;

// Term of a server lease. Higher terms supersede lower ones; 0 precedes the first term.
using Term = Strong<std::uint64_t, struct TermTag>;

// Generation of a shard map, incremented with each confirmed write; 0 precedes the first write.
using Generation = Strong<std::uint64_t, struct GenerationTag>;

// Version of an object in the platform's API.
using Version = Strong<std::uint64_t, struct VersionTag>;

// Number that identifies one run of a process. A restarted process has a different one.
using Incarnation = Strong<std::uint64_t, struct IncarnationTag>;

} // namespace sycamore::base

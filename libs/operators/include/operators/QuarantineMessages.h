#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::operators {

// Messages about quarantined requests; fields as in proto/operators.proto.

struct ListQuarantineRequest
{};

struct Verdict
{
  std::string id;
  std::uint64_t version = 0;
  std::string service;
  std::string method;
  std::uint32_t crashes = 0;
  std::uint64_t expiresInMs = 0;
  std::string reason;
};

struct QuarantineList
{
  std::vector<Verdict> verdicts;
};

struct QuarantineLift
{
  std::string id;
  std::uint64_t baseVersion = 0;
  bool dryRun = false;
};

} // namespace sycamore::operators

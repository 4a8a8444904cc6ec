#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::operators {

// Messages about failure domains; fields as in proto/operators.proto.

struct ListDomainsRequest
{};

struct DomainRow
{
  std::string domain;
  std::string state;
  std::uint64_t version = 0;
  std::uint32_t entryVms = 0;
  std::uint32_t servers = 0;
};

struct DomainList
{
  std::vector<DomainRow> domains;
};

struct DomainChange
{
  std::string domain;
  std::uint64_t baseVersion = 0;
  std::string reason;
  bool dryRun = false;
};

} // namespace sycamore::operators

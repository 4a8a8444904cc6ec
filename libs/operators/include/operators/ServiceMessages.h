#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::operators {

// Messages about services; fields as in proto/operators.proto.

struct StoredObject
{
  std::string name;
  std::uint64_t version = 0;
  std::string document;
  bool deleted = false;
};

struct ServiceChange
{
  std::string service;
  std::uint64_t baseVersion = 0;
  std::string document;
  bool dryRun = false;
};

struct ServiceDeletion
{
  std::string service;
  std::uint64_t baseVersion = 0;
  bool dryRun = false;
};

struct ServiceQuery
{
  std::string service;
};

struct ListServicesRequest
{};

struct ServiceList
{
  std::vector<StoredObject> services;
};

} // namespace sycamore::operators

#pragma once

#include <operators/ChangeReply.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::operators {

// Messages about configuration, error budgets, log levels and versions; fields as in
// proto/operators.proto.

struct ConfigStatusRequest
{};

struct VmConfigRow
{
  std::string vm;
  std::string domain;
  std::string digest;
  bool inSync = false;
  std::uint64_t heardMsAgo = 0;
};

struct UnusableObject
{
  std::string name;
  std::uint64_t version = 0;
  std::uint64_t versionInUse = 0;
  std::vector<Fault> faults;
};

struct ObjectVersion
{
  std::string name;
  std::uint64_t version = 0;
  bool deleted = false;
};

struct ConfigStatus
{
  std::vector<VmConfigRow> vms;
  std::vector<ObjectVersion> objects;
  std::vector<UnusableObject> unusable;
  bool platformReachable = false;
};

struct BurnReportRequest
{
  std::string service;
  bool html = false;
};

struct BurnRow
{
  std::string service;
  std::string window;
  double goodRatio = 0;
  double objective = 0;
  double burnRate = 0;
  std::uint64_t requests = 0;
};

struct BurnReport
{
  std::vector<BurnRow> rows;
  std::string html;
};

struct LogLevelChange
{
  std::string level;
};

struct VersionRequest
{};

struct VersionReply
{
  std::string version;
  std::string vm;
};

} // namespace sycamore::operators

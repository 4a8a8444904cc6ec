#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::operators {

// Messages about the owners of shards and keys; fields as in proto/operators.proto.

struct ShardRow
{
  std::uint32_t shard = 0;
  std::string key;
  std::string owner;
  std::string successor;
};

struct Placement
{
  std::string service;
  std::uint64_t generation = 0;
  std::vector<ShardRow> shards;
};

struct MovePlan
{
  std::string service;
  std::uint64_t baseVersion = 0;
  std::vector<std::uint32_t> shards;
  std::string from;
  std::string to;
  bool dryRun = false;
};

struct ServerDrain
{
  std::string service;
  std::string server;
  std::uint64_t baseVersion = 0;
  bool dryRun = false;
};

struct KeyQuery
{
  std::string service;
  std::string key;
};

struct KeyExplanation
{
  std::string service;
  std::uint32_t shard = 0;
  bool hotKey = false;
  std::string owner;
  std::uint64_t sinceGeneration = 0;
  std::uint64_t sinceMs = 0;
  std::string why;
  std::string successor;
  std::string holder;
  std::uint64_t term = 0;
  std::string state;
};

struct OwnerRow
{
  std::string service;
  std::string server;
  std::string domain;
  std::uint32_t shards = 0;
  std::uint32_t hotKeys = 0;
};

struct OwnerList
{
  std::vector<OwnerRow> owners;
};

struct TenancyRow
{
  std::string service;
  std::string server;
  std::string holder;
  std::uint64_t term = 0;
  std::string kind;
  std::vector<std::string> voters;
  std::uint64_t remainingMs = 0;
};

struct TenancyList
{
  std::vector<TenancyRow> tenancies;
};

struct MoveRow
{
  std::string service;
  std::uint32_t shard = 0;
  std::string from;
  std::string to;
  std::string why;
  std::string state;
  std::uint64_t ageMs = 0;
};

struct MoveList
{
  std::vector<MoveRow> moves;
};

} // namespace sycamore::operators

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::operators {

// Outcome of a change; the values are explained at Outcome in proto/operators.proto.
enum class ReplyOutcome
{
  Unspecified,
  Confirmed,
  Conflict,
  InDoubt,
  Refused,
  Planned
};

struct Fault
{
  std::string path;
  std::string message;
};

struct FieldDifference
{
  std::string path;
  std::string yours;
  std::string theirs;
};

struct PlannedMove
{
  std::uint32_t shard = 0;
  std::string from;
  std::string to;
};

// Reply to every call that changes something; fields as in proto/operators.proto.
struct ChangeReply
{
  ReplyOutcome outcome = ReplyOutcome::Unspecified;
  std::uint64_t version = 0;
  std::string message;
  std::vector<Fault> faults;
  std::vector<FieldDifference> differences;
  std::string current;
  std::string writer;
  std::vector<PlannedMove> moves;
};

} // namespace sycamore::operators

#pragma once

#include <base/Ids.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::ownership {

// A set of shards of one service, stored as sorted, disjoint, non-adjacent closed ranges. The cost
// of an operation grows with the number of ranges, not of shards. A value type; not synchronized.
class ShardSet
{
public:
  struct Range
  {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    friend bool operator==(const Range&, const Range&) = default;
  };

  ShardSet() = default;

  // Returns the set of the shards first to last, both included; first must not exceed last.
  static ShardSet range(base::ShardId first, base::ShardId last);

  // Parses the text form, such as "0-15,20". Throws OwnershipError if it is malformed.
  static ShardSet parse(std::string_view text);

  void insert(base::ShardId shard);
  void insert(const ShardSet& other);
  void erase(const ShardSet& other);
  void intersect(const ShardSet& other);

  bool contains(base::ShardId shard) const;
  bool containsAll(const ShardSet& other) const;
  bool empty() const { return ranges_.empty(); }
  std::size_t size() const;
  const std::vector<Range>& ranges() const { return ranges_; }

  // Returns a 64-bit hash of the set. Equal sets have equal digests.
  // Collisions are as rare as with any 64-bit hash.
  std::uint64_t digest() const;

  std::string text() const;

  friend bool operator==(const ShardSet&, const ShardSet&) = default;

private:
  void insertRange(Range added);
  void eraseRange(Range removed);

  std::vector<Range> ranges_;
};

} // namespace sycamore::ownership

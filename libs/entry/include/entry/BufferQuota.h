#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace sycamore::entry {

class BufferReservation;

// Bounds the memory that the buffers of all connections take together. No buffer gets more than is
// then left for all others: a few that grow without end stop growing while there is room for the
// rest. Used by one thread only.
class BufferQuota
{
public:
  // `limit` in bytes.
  explicit BufferQuota(std::uint64_t limit)
    : used_(std::make_shared<std::uint64_t>(0))
    , limit_(limit)
  {
  }

  std::uint64_t limit() const { return limit_; }
  std::uint64_t used() const { return *used_; }

  // Returns whether a new reservation could take these bytes.
  bool hasRoomFor(std::uint64_t bytes) const
  {
    return bytes <= limit_ / 2 && *used_ <= limit_ - 2 * bytes;
  }

  // Returns a reservation of 0 bytes, which may outlive the quota.
  BufferReservation reserve() const;

private:
  std::shared_ptr<std::uint64_t> used_;
  std::uint64_t limit_;
};

// Bytes reserved from a quota, returned to it when this object is destroyed or cleared.
class BufferReservation
{
public:
  BufferReservation() = default;
  BufferReservation(std::shared_ptr<std::uint64_t> used, std::uint64_t limit)
    : used_(std::move(used))
    , limit_(limit)
  {
  }
  BufferReservation(BufferReservation&& other) noexcept { *this = std::move(other); }
  BufferReservation& operator=(BufferReservation&& other) noexcept
  {
    if (this != &other) {
      clear();
      used_ = std::move(other.used_);
      limit_ = other.limit_;
      bytes_ = other.bytes_;
      other.bytes_ = 0;
    }
    return *this;
  }
  BufferReservation(const BufferReservation&) = delete;
  BufferReservation& operator=(const BufferReservation&) = delete;
  ~BufferReservation() { clear(); }

  // Adds bytes. Returns false, without a change, if the quota has no room for them or this
  // reservation would become larger than what is left of the quota.
  bool tryAdd(std::uint64_t bytes)
  {
    if (!used_) {
      return true;
    }
    if (bytes > limit_ || *used_ > limit_ - bytes) {
      return false;
    }
    const std::uint64_t left = limit_ - *used_ - bytes;
    if (bytes_ + bytes > left) {
      return false;
    }
    *used_ += bytes;
    bytes_ += bytes;
    return true;
  }

  // Moves some of the reserved bytes, at most all, to a reservation of their own.
  BufferReservation take(std::uint64_t bytes)
  {
    BufferReservation taken(used_, limit_);
    taken.bytes_ = std::min(bytes, bytes_);
    bytes_ -= taken.bytes_;
    return taken;
  }

  std::uint64_t bytes() const { return bytes_; }

  void clear()
  {
    if (used_) {
      *used_ -= bytes_;
    }
    bytes_ = 0;
  }

private:
  std::shared_ptr<std::uint64_t> used_;
  std::uint64_t limit_ = 0;
  std::uint64_t bytes_ = 0;
};

inline BufferReservation BufferQuota::reserve() const
{
  return { used_, limit_ };
}

} // namespace sycamore::entry

#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <utility>

namespace sycamore::base {

// A value of type T that doesn't convert to or compare with other tags. Used for ids and units.
template<typename T, typename Tag>
class Strong
{
public:
  using ValueType = T;

  constexpr Strong() = default;
  constexpr explicit Strong(T value)
    : value_(std::move(value))
  {
  }

  constexpr const T& value() const { return value_; }

  friend constexpr auto operator<=>(const Strong&, const Strong&) = default;
  friend constexpr bool operator==(const Strong&, const Strong&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Strong& strong)
  {
    return out << strong.value_;
  }

private:
  T value_{};
};

} // namespace sycamore::base

template<typename T, typename Tag>
struct std::hash<sycamore::base::Strong<T, Tag>>
{
  std::size_t operator()(const sycamore::base::Strong<T, Tag>& strong) const noexcept
  {
    return std::hash<T>{}(strong.value());
  }
};

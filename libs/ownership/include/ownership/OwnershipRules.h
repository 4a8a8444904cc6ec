#pragma once

#include <concepts>
#include <cstddef>

namespace sycamore::ownership {

// The safety rules that the classes of this library follow. Production code uses only
// StandardRules. The tests disable one rule at a time and verify that the history checker then
// finds a violation.
template<typename T>
concept OwnershipRules = requires
{
  {
    T::kCheckTerms
    } -> std::convertible_to<bool>;
  {
    T::kWaitForGrantExpiry
    } -> std::convertible_to<bool>;
  {
    T::kAbstainAfterRestart
    } -> std::convertible_to<bool>;
  {
    T::kValidityFromEcho
    } -> std::convertible_to<bool>;
  {
    T::kCheckVotesBeforeSend
    } -> std::convertible_to<bool>;
  {
    T::kRaiseFloor
    } -> std::convertible_to<bool>;
  {
    T::kIgnoreGrantsOlderThanRelease
    } -> std::convertible_to<bool>;
  {
    T::kCheckPermitsAgainstMap
    } -> std::convertible_to<bool>;
  {
    T::kWithholdShardsInDoubt
    } -> std::convertible_to<bool>;
  {
    T::majority(std::size_t{})
    } -> std::convertible_to<std::size_t>;
};

struct StandardRules
{
  static constexpr bool kCheckTerms = true;
  static constexpr bool kWaitForGrantExpiry = true;
  static constexpr bool kAbstainAfterRestart = true;
  static constexpr bool kValidityFromEcho = true;
  static constexpr bool kCheckVotesBeforeSend = true;
  static constexpr bool kRaiseFloor = true;
  static constexpr bool kIgnoreGrantsOlderThanRelease = true;
  static constexpr bool kCheckPermitsAgainstMap = true;
  static constexpr bool kWithholdShardsInDoubt = true;
  static constexpr std::size_t majority(std::size_t voters) { return voters / 2 + 1; }
};

} // namespace sycamore::ownership

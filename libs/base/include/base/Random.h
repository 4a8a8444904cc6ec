#pragma once

#include <random>

namespace sycamore::base {

// A source of random bits: any standard uniform random bit generator with 64-bit results.
// Decision logic takes it as a template parameter, so that a run can be reproduced from its seed.
template<typename T>
concept RandomSource =
  std::uniform_random_bit_generator<T> && std::same_as<typename T::result_type, std::uint64_t>;

static_assert(RandomSource<std::mt19937_64>);

} // namespace sycamore::base

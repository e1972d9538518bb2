/// @file
/// Random number generators as function objects, so that tests can choose the seed.
#pragma once

#include <cstdint>
#include <functional>

namespace bergamotglade {

/// Returns uniformly distributed 64-bit numbers.
using Random = std::function<std::uint64_t()>;

/// @brief A reproducible generator.
/// @param seed equal seeds give equal sequences
[[nodiscard]] Random seededRandom(std::uint64_t seed);

/// @brief A generator seeded by the operating system.
[[nodiscard]] Random systemRandom();

/// @brief A random number in [0, `bound`).
/// @param bound greater than zero
[[nodiscard]] std::uint64_t randomBelow(const Random &random, std::uint64_t bound);

} // namespace bergamotglade

/// @file
/// Hash function that gives the same result in every process (XXH3, 64 bits).
#pragma once

#include <cstdint>
#include <string_view>

namespace bergamotglade {

/// @brief Hash of bytes; the same on every machine.
[[nodiscard]] std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// @brief Hash of two integers.
[[nodiscard]] std::uint64_t hashPair(std::uint64_t a, std::uint64_t b) noexcept;

} // namespace bergamotglade

/// @file
/// Compression of control messages in the zlib format, which is the HTTP content coding `deflate`.
#pragma once

#include <bergamotglade/detail/core/error.hpp>

#include <string>
#include <string_view>

namespace bergamotglade {

/// Name of this content coding in HTTP headers.
inline constexpr std::string_view DeflateCoding = "deflate";

/// @brief Compresses bytes at the fastest level of zlib.
/// @param bytes input, of any content
/// @return the compressed bytes; for incompressible input a few bytes more than the input
/// @complexity linear in the size of `bytes`
/// @code
/// const std::string compressed = deflated(toJson(batch));
/// @endcode
[[nodiscard]] std::string deflated(std::string_view bytes);

/// @brief Decompresses the output of deflated().
/// @param bytes compressed input, not trusted
/// @param sizeMax largest result in bytes; a guard against decompression bombs
/// @return the decompressed bytes; ErrorCode::Oversized, or ErrorCode::BadHttp for corrupted or
/// truncated input
/// @complexity linear in the size of the result
[[nodiscard]] Result<std::string> inflated(std::string_view bytes, std::size_t sizeMax);

} // namespace bergamotglade

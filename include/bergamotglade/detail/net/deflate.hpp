/// @file
/// Compression of control messages in zlib's format, HTTP's content coding `deflate`.
#pragma once

#include <bergamotglade/detail/core/error.hpp>

#include <string>
#include <string_view>

namespace bergamotglade {

/// Name of the content coding in HTTP headers.
inline constexpr std::string_view DeflateCoding = "deflate";

/// @brief Compresses at zlib's fastest level.
/// @param bytes any bytes
/// @return the compressed bytes, at most a few more than `bytes` holds
/// @complexity linear in the bytes
/// @code
/// const std::string packed = deflated(toJson(batch));
/// @endcode
[[nodiscard]] std::string deflated(std::string_view bytes);

/// @brief Undoes deflated().
/// @param bytes what a peer sent
/// @param sizeMax most bytes of the result; guards against small messages that grow without bound
/// @return the bytes; ErrorCode::Oversized, or ErrorCode::BadHttp for damaged or cut-off input
/// @complexity linear in the result
[[nodiscard]] Result<std::string> inflated(std::string_view bytes, std::size_t sizeMax);

} // namespace bergamotglade

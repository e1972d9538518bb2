/// @file
/// HTTP/1.1 encoding of requests and responses, one message per datagram.
#pragma once

#include <bergamotglade/detail/request/message.hpp>

namespace bergamotglade {

[[nodiscard]] std::string encode(const Request &request);
[[nodiscard]] std::string encode(const Response &response);

/// @brief Decodes the request of a caller.
/// @param bytes one whole message of at most RequestBytesMax bytes
/// @return the request; ErrorCode::Oversized, or ErrorCode::BadHttp with the name of the invalid
/// field
/// @complexity linear in the size of `bytes`
[[nodiscard]] Result<Request> decodeRequest(std::string_view bytes);

/// @brief Decodes the response of an agent. Errors as decodeRequest().
[[nodiscard]] Result<Response> decodeResponse(std::string_view bytes);

/// @brief HTTP status code that represents an outcome.
[[nodiscard]] std::uint16_t httpStatusOf(Outcome outcome) noexcept;

} // namespace bergamotglade

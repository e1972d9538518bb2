/// @file
/// Error type of operations, and the result type that carries it.
#pragma once

#include <bergamotglade/detail/core/finding.hpp>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <cstdint>
#include <string>

namespace bergamotglade {

/// The numbers are stable; they appear in logs and in JSON.
enum class ErrorCode : std::uint16_t {
    BadAddress = 301, ///< not an IPv4 address and port
    BadDatagram = 302, ///< not a valid datagram of this protocol
    BadHttp = 303, ///< malformed HTTP message, or a required header is missing
    Oversized = 304, ///< larger than the limit
    BadDocument = 305, ///< the document lacks what was asked for, or has errors
    Io = 306, ///< a system call failed
    Timeout = 307, ///< no answer before the time-out
    BadJson = 308, ///< a control message without the expected structure
    Refused = 309, ///< the peer answered with an error status
};

/// Cause and position of a failure.
struct Error
{
    ErrorCode code = ErrorCode::Io;
    std::string message;
    /// Byte offset of the error in the input, if it has one.
    std::uint64_t position = 0;
};

/// @brief One line of text: `error 302 at 17: message`.
[[nodiscard]] std::string describe(const Error &error);

/// A value or an error of type E; accessing the one that is absent terminates the process.
template <typename T, typename E = Error>
using Result = boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::terminate>;

} // namespace bergamotglade

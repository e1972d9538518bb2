/// @file
/// Requests and responses exchanged between callers and agents.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/flow/flow_key.hpp>

#include <optional>
#include <vector>

namespace bergamotglade {

/// Maximum body size of one response datagram, in bytes.
inline constexpr std::size_t PartBytes = 1200;
/// Maximum size of a request including headers, in bytes; a request fits in one datagram.
inline constexpr std::size_t RequestBytesMax = 16'384;
/// Maximum size of an answer body, in bytes.
inline constexpr std::size_t AnswerBytesMax = 1'048'576;
/// Maximum deadline of a request.
inline constexpr Millis DeadlineMax {600'000};

/// Whether a request with this method may safely run more than once.
[[nodiscard]] bool isIdempotent(std::string_view method) noexcept;

/// One attempt of a caller's request.
struct Request
{
    CallerId caller;
    RequestSequence sequence;
    std::uint32_t attempt = 1;
    /// Time until the deadline when this attempt was sent; zero selects the service's default.
    Millis remaining {};
    std::optional<OwnerToken> owner;
    ServiceName service;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    /// Parts of an earlier answer that the caller has not received.
    std::vector<std::uint16_t> missingParts;
    /// Opens a flow without running a request.
    bool opensOnly = false;

    [[nodiscard]] bool idempotent() const noexcept { return isIdempotent(method); }
};

/// Outcome of a request.
enum class Outcome : std::uint8_t {
    Answered, ///< the upstream's answer follows
    NotRun, ///< refused by the flow's owner; the request has not run and never will
    Refused, ///< this attempt was refused; other attempts may have run
    Unknown, ///< the request may have run; a non-idempotent one will not be run again
    Opened, ///< a flow was opened; resend the request with the owner token
    InProgress, ///< the request is queued, running or lent; a later attempt gets its answer
};

[[nodiscard]] std::string_view toString(Outcome outcome) noexcept;

/// A complete answer of an upstream.
struct Answer
{
    std::uint16_t status = 200;
    std::string contentType;
    std::string body;
};

/// One datagram to the caller: a complete response or one part of it.
struct Response
{
    CallerId caller;
    RequestSequence sequence;
    Outcome outcome = Outcome::Answered;
    std::uint16_t status = 200;
    std::optional<OwnerToken> owner;
    Millis retryAfter {}; ///< minimum time before a retry; zero if not stated
    std::string reason;
    std::string contentType;
    /// Hash of the complete answer; prevents combining parts of different executions.
    std::uint64_t answerHash = 0;
    std::uint16_t part = 0;
    std::uint16_t parts = 1;
    std::string body;
};

/// @brief Splits an answer into datagrams.
/// @param head fields common to all parts
/// @param wanted indices of the parts to return; all parts if empty
/// @complexity linear in the size of the body
[[nodiscard]] std::vector<Response> splitAnswer(const Response &head, const Answer &answer,
                                                const std::vector<std::uint16_t> &wanted);

} // namespace bergamotglade

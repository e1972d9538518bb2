/// @file
/// Flow key and owner token.
#pragma once

#include <bergamotglade/detail/core/endpoint.hpp>
#include <bergamotglade/detail/core/hash.hpp>
#include <bergamotglade/detail/core/ids.hpp>

namespace bergamotglade {

/// Identifies a flow by the caller's and the service's address. The transport is always UDP.
struct FlowKey
{
    Endpoint caller;
    Endpoint service;

    friend auto operator<=>(const FlowKey &, const FlowKey &) = default;

    /// @brief Hash value; identical in all processes.
    [[nodiscard]] std::uint64_t hash() const noexcept
    {
        return hashPair(caller.packed(), service.packed());
    }
};

/// Identifies the agent that owns a flow. Only that incarnation of the agent may run the flow's
/// non-idempotent requests, unless it hands the flow over.
struct OwnerToken
{
    Endpoint agent;
    Incarnation incarnation;
    FlowNonce nonce;

    friend auto operator<=>(const OwnerToken &, const OwnerToken &) = default;

    /// @brief Text form sent by callers: `a.b.c.d:port/incarnation/nonce`, numbers in hexadecimal.
    [[nodiscard]] std::string str() const;

    /// @brief Parses the text form produced by str().
    /// @return the token, or ErrorCode::BadHttp
    static Result<OwnerToken> parse(std::string_view text);
};

} // namespace bergamotglade

template <>
struct std::hash<bergamotglade::FlowKey>
{
    std::size_t operator()(const bergamotglade::FlowKey &key) const noexcept { return key.hash(); }
};

/// @file
/// An IPv4 address and port.
#pragma once

#include <bergamotglade/detail/core/error.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace bergamotglade {

/// An IPv4 address (host byte order) with a TCP or UDP port.
struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;

    /// @brief Parses `a.b.c.d:port`.
    /// @param text at most 21 characters
    /// @return the endpoint, or ErrorCode::BadAddress with the position of the invalid character
    /// @complexity linear in the text
    /// @example `Endpoint::parse("127.0.0.1:80").value().port == 80`
    static Result<Endpoint> parse(std::string_view text);

    /// @brief The textual form accepted by parse().
    [[nodiscard]] std::string str() const;

    /// @brief Address and port in one integer, for hashing.
    [[nodiscard]] constexpr std::uint64_t packed() const noexcept
    {
        return (static_cast<std::uint64_t>(address) << 16U) | port;
    }
};

} // namespace bergamotglade

template <>
struct std::hash<bergamotglade::Endpoint>
{
    std::size_t operator()(const bergamotglade::Endpoint &e) const noexcept
    {
        return std::hash<std::uint64_t>()(e.packed());
    }
};

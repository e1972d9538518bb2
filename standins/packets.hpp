/// @file
/// Packets as callers and upstreams send them in a deployment that steers connections.
#pragma once

#include <bergamotglade/detail/steering/segment.hpp>

namespace bergamotglade::standins {

/// @name Flags of a packet
/// @{
inline constexpr std::uint8_t Syn = 128;
inline constexpr std::uint8_t Ack = 1;
inline constexpr std::uint8_t Fin = 4;
inline constexpr std::uint8_t Rst = 64;
/// Sent back by an upstream that refuses or does not hold the flow.
inline constexpr std::uint8_t Returned = 32;
/// @}

/// @brief Writes one packet.
/// @param fromCaller true if the caller sends it, false if the upstream does
/// @param acknowledgement in the opening packet of a caller (Syn without Ack) the number of copies
/// sent before it
/// @param data at most 1,200 bytes
[[nodiscard]] PacketBytes makePacket(const FlowKey &flow, bool fromCaller, std::uint8_t flags,
                                     std::uint32_t sequence, std::uint32_t acknowledgement,
                                     std::string_view data = {});
/// @brief The data after the header of a packet; empty if the packet is shorter than a header.
[[nodiscard]] std::string_view dataOf(std::string_view packet);
/// @brief The packet as an upstream returns it: with the flag Returned set.
[[nodiscard]] PacketBytes markReturned(PacketBytes packet);

} // namespace bergamotglade::standins

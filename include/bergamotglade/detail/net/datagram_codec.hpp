/// @file
/// MessagePack form of the datagrams between the system's own processes.
#pragma once

#include <bergamotglade/detail/node/handover.hpp>
#include <bergamotglade/detail/node/packet.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace bergamotglade {

/// What the fabric hands to a balancer: a caller's bytes and the service address they were sent
/// to. The caller's address is the datagram's own.
struct CallerFrame
{
    Endpoint service;
    std::string payload;
};

using Datagram =
    std::variant<CallerFrame, DataPacket, LoadReport, Notice, FlowLocated, BalancerHeartbeat>;

[[nodiscard]] std::string encode(const CallerFrame &frame);
[[nodiscard]] std::string encode(const DataPacket &packet);
[[nodiscard]] std::string encode(const LoadReport &report);
[[nodiscard]] std::string encode(const Notice &notice);
[[nodiscard]] std::string encode(const FlowLocated &located);
[[nodiscard]] std::string encode(const BalancerHeartbeat &heartbeat);

/// @brief Reads any datagram.
/// @param bytes as received
/// @return the message, or ErrorCode::BadDatagram; never throws on any input
/// @complexity linear in the bytes
[[nodiscard]] Result<Datagram> decodeDatagram(std::string_view bytes);

[[nodiscard]] std::string encode(const HandoverMessage &message);
[[nodiscard]] Result<HandoverMessage> decodeHandover(std::string_view bytes);

} // namespace bergamotglade

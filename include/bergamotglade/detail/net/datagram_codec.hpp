/// @file
/// MessagePack encoding of the messages between the processes of the load balancer.
#pragma once

#include <bergamotglade/detail/node/handover.hpp>
#include <bergamotglade/detail/node/packet.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace bergamotglade {

/// Datagram from the fabric to a balancer: the bytes that a caller sent and the service address
/// that it sent them to. The address of the caller is the source address of the datagram.
struct CallerFrame
{
    Endpoint service;
    std::string payload;
};

/// Any message that a process receives over UDP.
using Datagram = std::variant<CallerFrame, DataPacket, LoadReport, Notice, FlowLocated,
                              BalancerHeartbeat, FlowQuery, FlowAnswer, FlowLocations, OwnersQuery,
                              OwnersList, ConfirmationQuery, ConfirmationAnswer>;

[[nodiscard]] std::string encode(const CallerFrame &frame);
[[nodiscard]] std::string encode(const DataPacket &packet);
[[nodiscard]] std::string encode(const LoadReport &report);
[[nodiscard]] std::string encode(const Notice &notice);
[[nodiscard]] std::string encode(const FlowLocated &located);
[[nodiscard]] std::string encode(const BalancerHeartbeat &heartbeat);
[[nodiscard]] std::string encode(const FlowQuery &query);
[[nodiscard]] std::string encode(const FlowAnswer &answer);
[[nodiscard]] std::string encode(const FlowLocations &locations);
[[nodiscard]] std::string encode(const OwnersQuery &query);
[[nodiscard]] std::string encode(const OwnersList &list);
[[nodiscard]] std::string encode(const ConfirmationQuery &query);
[[nodiscard]] std::string encode(const ConfirmationAnswer &answer);

/// @brief Decodes any datagram.
/// @param bytes the datagram as received
/// @return the message, or ErrorCode::BadDatagram; does not throw, whatever the input
/// @complexity linear in the size of `bytes`
[[nodiscard]] Result<Datagram> decodeDatagram(std::string_view bytes);

[[nodiscard]] std::string encode(const HandoverMessage &message);
/// @brief Decodes the body of a handover request. Errors as decodeDatagram().
[[nodiscard]] Result<HandoverMessage> decodeHandover(std::string_view bytes);

} // namespace bergamotglade

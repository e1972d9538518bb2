#include "packets.hpp"

#include <boost/endian/conversion.hpp>

namespace bergamotglade::standins {

namespace {

constexpr std::size_t HeadBytes = 32;
constexpr std::size_t FlagsAt = 10;
constexpr std::size_t PadAt = 11;
/// Neither end's sum is checked by anything in between.
constexpr std::uint32_t AnySum = 0xa1b2c3d5;

} // namespace

PacketBytes makePacket(const FlowKey &flow, bool fromCaller, std::uint8_t flags,
                       std::uint32_t sequence, std::uint32_t acknowledgement, std::string_view data)
{
    using namespace boost::endian;
    PacketBytes bytes(HeadBytes, '\0');
    auto *head = reinterpret_cast<unsigned char *>(bytes.data());
    const Endpoint &source = fromCaller ? flow.caller : flow.service;
    const Endpoint &target = fromCaller ? flow.service : flow.caller;
    store_big_u32(head, AnySum);
    store_big_u16(head + 4, static_cast<std::uint16_t>(data.size()));
    head[FlagsAt] = flags;
    store_big_u16(head + 12, target.port);
    store_big_u16(head + 14, source.port);
    store_big_u32(head + 16, source.address);
    store_big_u32(head + 20, target.address);
    store_big_u32(head + 24, sequence);
    store_big_u32(head + 28, acknowledgement);
    bytes += data;
    return bytes;
}

std::string_view dataOf(std::string_view packet)
{
    return packet.size() < HeadBytes ? std::string_view {} : packet.substr(HeadBytes);
}

PacketBytes returned(PacketBytes packet)
{
    packet[FlagsAt] = static_cast<char>(packet[FlagsAt] | Bounced);
    packet[PadAt] = '\0';
    return packet;
}

} // namespace bergamotglade::standins

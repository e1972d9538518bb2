#include "packets.hpp"

#include <boost/endian/conversion.hpp>

namespace bergamotglade::standins {

namespace {

constexpr std::size_t HeaderBytes = 32;
constexpr std::size_t FlagsOffset = 10;
constexpr std::size_t PaddingOffset = 11;
/// Arbitrary checksum: nothing between the two ends verifies it.
constexpr std::uint32_t PlaceholderChecksum = 0xa1b2c3d5;

} // namespace

PacketBytes makePacket(const FlowKey &flow, bool fromCaller, std::uint8_t flags,
                       std::uint32_t sequence, std::uint32_t acknowledgement, std::string_view data)
{
    using namespace boost::endian;
    PacketBytes bytes(HeaderBytes, '\0');
    auto *header = reinterpret_cast<unsigned char *>(bytes.data());
    const Endpoint &source = fromCaller ? flow.caller : flow.service;
    const Endpoint &target = fromCaller ? flow.service : flow.caller;
    store_big_u32(header, PlaceholderChecksum);
    store_big_u16(header + 4, static_cast<std::uint16_t>(data.size()));
    header[FlagsOffset] = flags;
    store_big_u16(header + 12, target.port);
    store_big_u16(header + 14, source.port);
    store_big_u32(header + 16, source.address);
    store_big_u32(header + 20, target.address);
    store_big_u32(header + 24, sequence);
    store_big_u32(header + 28, acknowledgement);
    bytes += data;
    return bytes;
}

std::string_view dataOf(std::string_view packet)
{
    return packet.size() < HeaderBytes ? std::string_view {} : packet.substr(HeaderBytes);
}

PacketBytes markReturned(PacketBytes packet)
{
    packet[FlagsOffset] = static_cast<char>(packet[FlagsOffset] | Returned);
    packet[PaddingOffset] = '\0';
    return packet;
}

} // namespace bergamotglade::standins

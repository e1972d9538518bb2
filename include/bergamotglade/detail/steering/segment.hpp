/// @file
/// Packet fields that steering reads, and the state that it carries from process to process in a
/// packet.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/flow/flow_key.hpp>

#include <functional>
#include <string>

namespace bergamotglade {

/// Forwarding state of a packet: the progress of the placement of a new flow. It is carried in the
/// packet, also through an upstream that returns it.
struct Trail
{
    /// Number of times that agents have forwarded the packet.
    std::uint8_t hops = 0;
    /// Only in opening packets: time for which agents and balancers have held the packet.
    Millis heldTime {};

    friend bool operator==(const Trail &, const Trail &) = default;
};

/// The header fields of one packet. Its data is not interpreted.
struct Segment
{
    FlowKey flow;
    bool opens = false; ///< first packet of either end
    bool acknowledges = false;
    bool finishes = false; ///< its sender will send no more data
    bool resets = false;
    bool returned = false; ///< sent back by an upstream that refused or does not hold the flow
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t dataBytes = 0;
    /// Only in opening packets: time since the sender sent the first copy, as far as known.
    Millis openingAge {};
    Trail trail;
};

/// A timer of a flow. It is void if `at` differs from the time stored in the flow.
struct FlowTimer
{
    FlowKey flow;
    Instant at; ///< start of the timer
};

/// @brief Restarts the timers of pending offers, after a pause of the process.
/// @param offers the timers
/// @param flows the flows by key, with the time of their offer in `offeredAt`
template <typename Offers, typename Flows>
void restartOfferTimers(Offers &offers, Flows &flows, Instant now)
{
    for (FlowTimer &entry : offers) {
        const auto found = flows.find(entry.flow);
        if (found != flows.end() && found->second.offeredAt == entry.at) {
            found->second.offeredAt = now;
            entry.at = now;
        }
    }
}

/// Bytes of one packet, as received.
using PacketBytes = std::string;

/// Packet format, supplied by the platform adapter.
struct PacketCodec
{
    /// Maximum data bytes of a packet.
    std::uint32_t dataBytesMax = 0;
    /// Parses a packet written by a caller; ErrorCode::BadDatagram if it is malformed.
    std::function<Result<Segment>(std::string_view)> fromCaller;
    /// Parses a packet written or returned by an upstream.
    std::function<Result<Segment>(std::string_view)> fromUpstream;
    /// Writes the trail into a packet and clears the flag of a returned packet.
    std::function<void(PacketBytes &, const FlowKey &, const Trail &)> setTrail;
    /// Creates a reset for the caller of a flow.
    std::function<PacketBytes(const FlowKey &, std::uint32_t callerAcknowledgement)> makeReset;
};

} // namespace bergamotglade

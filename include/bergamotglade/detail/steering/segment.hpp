/// @file
/// What steering reads of a packet, and what one process tells the next with it.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/flow/flow_key.hpp>

#include <functional>
#include <string>

namespace bergamotglade {

/// How far a packet has come in the search for its flow's owner. It travels with the packet, also
/// through an upstream that returns it, so that a search needs no state.
struct Trail
{
    /// Agents that passed the packet on.
    std::uint8_t hops = 0;
    /// Next position in the holders of the flow.
    std::uint8_t position = 0;
    /// Some holder could not be asked: the end of the search proves nothing.
    bool incomplete = false;
    /// Of an opening packet, which is not searched for: how long our processes have kept it.
    Millis kept {};

    friend bool operator==(const Trail &, const Trail &) = default;
};

/// The readable part of one packet. Its data stays opaque.
struct Segment
{
    FlowKey flow;
    bool opens = false; ///< first packet of either end
    bool acknowledges = false;
    bool finishes = false; ///< its sender sends no more
    bool resets = false;
    bool returned = false; ///< an upstream would not take it
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t dataBytes = 0;
    /// Of an opening packet: how long ago its sender sent the first copy, as far as known.
    Millis openedAgo {};
    Trail trail;
};

/// A flow in a queue of timers. An entry whose time is not the flow's own any more is void.
struct TimedFlow
{
    FlowKey flow;
    Instant at;
};

/// @brief Lets the timers of offers begin anew, after a pause of the process.
/// @param offers the timers
/// @param flows the flows by key, with the time of their offer in `offeredAt`
template <typename Offers, typename Flows>
void restartOffers(Offers &offers, Flows &flows, Instant now)
{
    for (TimedFlow &entry : offers) {
        const auto found = flows.find(entry.flow);
        if (found != flows.end() && found->second.offeredAt == entry.at) {
            found->second.offeredAt = now;
            entry.at = now;
        }
    }
}

/// Bytes of one packet as received.
using PacketBytes = std::string;

/// Layout of packets, supplied by the adapter of the platform.
struct PacketCodec
{
    /// Reads a packet that a caller wrote; ErrorCode::BadDatagram where it is none.
    std::function<Result<Segment>(std::string_view)> fromCaller;
    /// Reads a packet that an upstream wrote or returned.
    std::function<Result<Segment>(std::string_view)> fromUpstream;
    /// Writes the trail into a packet and takes the mark of a returned packet out.
    std::function<void(PacketBytes &, const FlowKey &, const Trail &)> setTrail;
    /// A reset for the caller of a flow.
    std::function<PacketBytes(const FlowKey &, std::uint32_t callerAcknowledgement)> makeReset;
};

} // namespace bergamotglade

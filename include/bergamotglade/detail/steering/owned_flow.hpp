/// @file
/// State of one flow at the agent of its upstream.
#pragma once

#include <bergamotglade/detail/steering/request_progress.hpp>

#include <optional>

namespace bergamotglade {

/// Stages of a flow.
enum class FlowStage : std::uint8_t {
    Offered, ///< the opening packet was sent to the upstream
    Accepted, ///< the upstream has answered the opening packet
    Open, ///< the caller has acknowledged the upstream's answer
    Ended, ///< the upstream has finished or reset the flow
    HandedOff, ///< the flow was offered to another agent, and its packets are redirected there
};

/// @brief Name of a stage as shown to operators; the names are stable.
[[nodiscard]] constexpr std::string_view nameOf(FlowStage stage) noexcept
{
    switch (stage) {
    case FlowStage::Offered:
        return "offered to the upstream";
    case FlowStage::Accepted:
        return "waits for the caller";
    case FlowStage::Open:
        return "open";
    case FlowStage::Ended:
        return "ended";
    case FlowStage::HandedOff:
        return "handed on";
    }
    return "unknown";
}

/// @brief Whether the upstream holds the flow or has been offered it.
[[nodiscard]] constexpr bool isActive(FlowStage stage) noexcept
{
    return stage == FlowStage::Offered || stage == FlowStage::Accepted || stage == FlowStage::Open;
}

struct OwnedFlow
{
    FlowStage stage = FlowStage::Offered;
    Instant lastSeen; ///< last packet of either end
    Instant offeredAt; ///< when the flow was offered to the upstream or handed off
    RequestProgress request; ///< the latest request of the caller
    /// The flow is in the list of those whose requests are still arriving.
    bool listedAsArriving = false;
    std::uint32_t priority = 0; ///< of its route when the flow was first seen
    /// The flow was given to the upstream and counts against the handshake allowance: the caller
    /// has neither acknowledged the upstream's answer nor exceeded the time for it.
    bool handshaking = false;
    bool callerFinished = false; ///< the caller has sent its last packet
    bool wasReset = false; ///< the upstream has reset the flow
    Instant acceptedAt; ///< when the upstream answered the opening packet
    /// Initial sequence number of the upstream, from its answer to the opening packet.
    std::optional<std::uint32_t> upstreamInitialSequence;
    /// Last acknowledgement number of the caller. A reset uses it as its sequence number, which
    /// must be close to the one that the caller expects.
    std::uint32_t callerAcknowledgement = 0;
    Instant locationSentAt; ///< when a sender was last told the agent that the flow was handed to
    Endpoint lastSender; ///< process that sent the last packet of the caller
    Endpoint handedOffTo;
    Trail trail; ///< trail of the opening packet, as offered or as handed off
    /// The caller has acknowledged this upstream's answer to the opening packet: the flow is open
    /// here and nowhere else.
    bool wasSeenOpen = false;
    /// Highest acknowledgement number that is known to be the flow's; set if `wasSeenOpen` is.
    std::uint32_t confirmedAcknowledgement = 0;
    /// Last packet without data of the caller, with which a restarted upstream is asked for the
    /// flow; empty unless `wasSeenOpen` is set.
    PacketBytes plainAcknowledgement;
    bool askedAfterRestart = false; ///< the upstream has restarted, and was asked for the flow
    /// When the caller was last reset because the upstream returned a packet of the open flow.
    std::optional<Instant> resetAsReturnedAt;
    /// Kept until the caller acknowledges the upstream's answer, to hand the flow off if the
    /// upstream is silent.
    PacketBytes openingPacket;

    /// @brief Whether neither end sends anything new.
    [[nodiscard]] bool isClosed() const noexcept
    {
        return wasReset || (stage == FlowStage::Ended && callerFinished);
    }

    /// @brief Whether a caller's packet belongs to the flow at this upstream, judged by its
    /// acknowledgement number.
    /// @return also true if the upstream's sequence number is not known
    [[nodiscard]] bool matchesUpstream(const Segment &segment) const noexcept
    {
        if (resetAsReturnedAt) {
            return continuesOpenFlow(segment);
        }
        // Once a flow is open, its acknowledgement numbers leave the initial window.
        const bool wasOpen = stage == FlowStage::Open || stage == FlowStage::Ended;
        if (!upstreamInitialSequence || !segment.acknowledges || wasOpen) {
            return true;
        }
        return segment.acknowledgement - *upstreamInitialSequence <= InitialWindowBytes;
    }

    /// @brief Whether a caller's packet proves that the caller chose this upstream's answer to the
    /// opening packet.
    [[nodiscard]] bool confirmsUpstream(const Segment &segment) const noexcept
    {
        return upstreamInitialSequence && matchesUpstream(segment) && segment.acknowledges;
    }

    /// @brief Whether a caller's packet belongs to the flow that was seen open here, and not to a
    /// later or earlier one of the same addresses.
    [[nodiscard]] bool continuesOpenFlow(const Segment &segment) const noexcept;

    /// @brief Whether a packet that the upstream returns proves that the flow is gone: an open flow
    /// never moves. A flow that the upstream has ended is searched for instead, since its last
    /// packets may still be on the way to the caller.
    [[nodiscard]] bool isOpenHere(const Segment &segment) const noexcept;

    /// @brief Updates what is known of the open flow from a caller's packet that is delivered.
    void recordCallerPacket(const Segment &segment, const PacketBytes &bytes);
    /// @brief Stores the initial sequence number of the upstream. A number that differs from the
    /// former one belongs to another flow of the same addresses.
    void recordUpstreamOpening(std::uint32_t sequence);

    /// Limits of the distance of a packet's acknowledgement number from the highest one of the
    /// flow. Packets in flight are reordered by less; the numbers of another flow of the same
    /// addresses lie within the limits with a probability of 1 in 3,900.
    static constexpr std::uint32_t ReorderedBytesMax = 65'536;
    static constexpr std::uint32_t AdvanceBytesMax = 1'048'576;
    /// The caller's first acknowledgement lies within the upstream's initial window of 16 packets
    /// of 1,200 bytes; the upstream's opening packet takes one sequence number.
    static constexpr std::uint32_t InitialWindowBytes = 16 * 1200 + 1;
};

} // namespace bergamotglade

/// @file
/// One flow as the agent beside its upstream sees it.
#pragma once

#include <bergamotglade/detail/steering/segment.hpp>

#include <optional>

namespace bergamotglade {

/// How far a flow has come.
enum class FlowStage : std::uint8_t {
    Offered, ///< the upstream has the opening packet
    Accepted, ///< the upstream has answered it
    Open, ///< the caller has acknowledged this upstream's answer
    Ended, ///< the upstream has finished or reset it
    Moved, ///< offered to another agent
};

/// @brief The stage as operators see it.
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
    case FlowStage::Moved:
        return "handed on";
    }
    return "unknown";
}

/// @brief Whether the upstream has the flow, or is about to.
[[nodiscard]] constexpr bool isOpen(FlowStage stage) noexcept
{
    return stage == FlowStage::Offered || stage == FlowStage::Accepted || stage == FlowStage::Open;
}

struct OwnedFlow
{
    FlowStage stage = FlowStage::Offered;
    Instant seen; ///< last packet of either end
    Instant offeredAt;
    Instant busySince;
    bool busy = false; ///< a request waits for the upstream
    bool waiting = false; ///< will take a slot as soon as the caller answers
    Instant acceptedAt;
    /// First sequence number of the upstream, from its answer to the opening packet.
    std::optional<std::uint32_t> upstreamSequence;
    /// Last acknowledgement of the caller: resets must be close to it.
    std::uint32_t callerAcknowledgement = 0;
    Instant locatedAt; ///< when balancers were told last where the flow is
    Endpoint movedTo;
    Trail trail;
    PacketBytes opening;

    /// @brief Whether a packet of the caller continues this upstream's side of the flow.
    /// @return true also where the upstream's side is not known
    [[nodiscard]] bool continues(const Segment &segment) const noexcept
    {
        if (!upstreamSequence || !segment.acknowledges || stage == FlowStage::Open) {
            return true;
        }
        return segment.acknowledgement - *upstreamSequence <= FirstWindow;
    }

    /// The first acknowledgement lies within one window of the upstream's first packets:
    /// 16 packets of 1,200 bytes.
    static constexpr std::uint32_t FirstWindow = 16 * 1200 + 1;
};

} // namespace bergamotglade

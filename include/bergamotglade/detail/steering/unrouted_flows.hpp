/// @file
/// Flows whose route is not in the configuration view of this process.
#pragma once

#include <bergamotglade/detail/steering/segment.hpp>

#include <unordered_map>
#include <vector>

namespace bergamotglade {

struct UnroutedFlowsSettings
{
    /// A new flow is rejected if it is still uncertain after this whether its route exists: the
    /// caller can open another one at once.
    Millis openingWaitMax {400};
    /// Other packets are dropped after this: their senders have retransmitted them.
    Millis packetAgeMax {1300};
    /// An open flow without packets is forgotten after this; senders retransmit at intervals of up
    /// to 1.6 s.
    Millis flowTtl {2000};
    std::size_t flowsMax = 1024;
    std::size_t packetsMax = 1024; ///< of all flows together
};

/// Totals since the start of the process, exported as metrics.
struct UnroutedFlowsCounters
{
    std::uint64_t flowsHeld = 0;
    std::uint64_t flowsReleased = 0; ///< flows whose route arrived
    std::uint64_t flowsRejected = 0; ///< flows whose route does not exist
    std::uint64_t packetsDropped = 0; ///< packets that were held for too long or found no room
};

/// A packet with what its handling needs besides its contents.
struct UnroutedPacket
{
    Segment segment;
    PacketBytes bytes;
    Endpoint from; ///< process that sent it; unset at a balancer
    Instant receivedAt;
};

struct UnroutedFlowsHooks
{
    std::function<bool(const Endpoint &route)> isRouteKnown;
    /// Asks the platform and other processes for a newer view. Called often, must limit itself.
    std::function<void(Instant now)> requestConfirmation;
    /// Whether the view contains all versions that the platform had acknowledged at `since`.
    std::function<bool(Instant since, Instant now)> isConfirmedSince;
    /// Takes the packets of a flow whose route has become known, in the order of their arrival.
    std::function<void(UnroutedPacket packet, Instant now)> release;
    /// Tells the caller of a flow that there is no route.
    std::function<void(const Segment &segment, Instant now)> reject;
};

/// Holds the packets of flows whose route is unknown until the route becomes known or proves to be
/// absent. Callers use a route as soon as the platform has acknowledged it, and a version takes
/// some hundred milliseconds to reach all processes: that this process does not know a route is no
/// evidence against an open flow. A route is absent if the view contains all versions that were
/// acknowledged when the first packet of the flow arrived.
class UnroutedFlows
{
public:
    UnroutedFlows(const UnroutedFlowsSettings &settings, UnroutedFlowsHooks hooks);

    void hold(UnroutedPacket packet, Instant now);
    /// @brief Releases and rejects the flows that can be decided. Call after a change or a
    /// confirmation of the view, and at least every 20 ms.
    void resolve(Instant now);

    [[nodiscard]] bool contains(const FlowKey &flow) const { return m_flows.contains(flow); }
    [[nodiscard]] const UnroutedFlowsCounters &counters() const noexcept { return m_counters; }

private:
    struct UnroutedFlow
    {
        Instant firstPacketAt;
        Instant lastPacketAt;
        bool isNew = true; ///< only opening packets of it have arrived
        std::vector<UnroutedPacket> packets; ///< in the order of their arrival
    };

    /// @return whether the flow was decided, so that it has no packets left
    bool rejectIfDecided(UnroutedFlow &flow, Instant now);
    void dropOldPackets(UnroutedFlow &flow, Instant now);
    /// @brief Whether nothing of a flow is worth remembering.
    [[nodiscard]] bool isObsolete(const UnroutedFlow &flow, Instant now) const;

    UnroutedFlowsSettings m_settings;
    UnroutedFlowsHooks m_hooks;
    std::unordered_map<FlowKey, UnroutedFlow> m_flows;
    std::size_t m_packetCount = 0;
    UnroutedFlowsCounters m_counters;
};

} // namespace bergamotglade

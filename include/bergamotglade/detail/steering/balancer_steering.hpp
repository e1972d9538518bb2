/// @file
/// Steering at a balancer: places new flows and forwards packets to the agents that own their
/// flows.
#pragma once

#include <bergamotglade/detail/admission/peer_load_table.hpp>
#include <bergamotglade/detail/steering/directory.hpp>
#include <bergamotglade/detail/steering/entry_link.hpp>
#include <bergamotglade/detail/steering/flow_explanation.hpp>
#include <bergamotglade/detail/steering/segment.hpp>
#include <bergamotglade/detail/steering/steering_event.hpp>
#include <bergamotglade/detail/steering/unrouted_flows.hpp>

#include <deque>

namespace bergamotglade {

/// Timeouts and limits of a balancer.
struct BalancerSteeringSettings
{
    /// An opening packet is offered to another agent if within this time neither the caller
    /// acknowledges the upstream's answer nor the agent sends a load report; round trips to callers
    /// take a few milliseconds.
    Millis offerTimeout {80};
    /// Maximum number of agents that one flow is offered to, both after timeouts and when the
    /// caller retransmits; a retransmission after that starts over.
    std::uint8_t offersMax = 3;
    /// Upstreams of the balancer's own failure domain are preferred while their load, including the
    /// new flow, is at most this share of their slots: traffic between failure domains is
    /// expensive.
    double homeUtilizationMax = 0.7;
    /// An agent whose offer timed out, or that reports that it is draining or that its upstream is
    /// failing, is suspect for this long or until it reports neither of the two. A suspect agent
    /// gets new flows only if there is no other agent.
    Millis suspectDuration {1500};
    /// Capacity of the flow table; the flows that were checked for expiry longest ago are removed
    /// first.
    std::size_t flowsMax = 100'000;
    /// A flow without packets is removed after this; its next packet starts a search for its owner,
    /// which keeps it for longer.
    Millis idleTimeout {15'000};
    /// If the owner of a flow is still unknown after this, its next packet goes to another home,
    /// unless the first has reported its load within homeReportAgeMax.
    Millis homeTimeout {150};
    Millis homeReportAgeMax {1000};
    /// The owner of a flow whose upstream has departed is asked for again after this.
    Millis departedRecheckInterval {2000};
    /// Maximum number of opening packets held while no routes or no upstreams are known or the
    /// configuration view is outdated.
    std::size_t heldOpeningsMax = 4096;
    /// A packet held for longer is dropped instead of placed: callers give up after 1.4 s.
    Millis heldOpeningAgeMax {1300};
    /// A longer interval between two ticks means that the process was paused: timeouts that passed
    /// meanwhile are not taken as failures.
    Millis pauseThreshold {200};
    EntryLinkSettings link;
    UnroutedFlowsSettings unrouted;
};

/// Totals since the start of the process, exported as metrics.
struct BalancerSteeringCounters
{
    /// Packets sent to the known agent of their flow, new offers not included.
    std::uint64_t packetsForwarded = 0;
    std::uint64_t flowsOffered = 0;
    std::uint64_t flowsReoffered = 0; ///< attempts to offer a flow again after a timeout
    std::uint64_t packetsSearched = 0; ///< packets sent on a search for the owner of their flow
    std::uint64_t resetsWithoutRoute = 0;
    std::uint64_t resetsWithoutUpstream = 0;
    /// Opening packets held until routes and upstreams are known and recent enough.
    std::uint64_t openingsHeld = 0;
    /// Packets dropped without a reset to the caller: the state of the flow is uncertain, the
    /// packet is a reset itself, or heldOpeningsMax is reached.
    std::uint64_t packetsDropped = 0;
    std::uint64_t openingsHeldForLink = 0;
    std::uint64_t openingsRefusedForLink = 0;
    std::uint64_t repeatsDropped = 0; ///< data packets dropped because a copy is on the way
};

/// Output and queries of a balancer, supplied by the process.
struct BalancerSteeringHooks
{
    std::function<void(const Endpoint &agent, const PacketBytes &)> sendToAgent;
    std::function<void(const Endpoint &caller, const PacketBytes &)> sendReset;
    /// Whether the configuration view is recent enough to act on.
    std::function<bool(Instant)> mayAct;
    /// See UnroutedFlowsHooks.
    std::function<void(Instant now)> requestConfirmation;
    std::function<bool(Instant since, Instant now)> isConfirmedSince;
    SteeringLog log;
};

/// State machine without I/O. The flow table is soft state: packets of a flow that it lacks go to
/// one of the flow's homes, which knows the owner or searches for it.
class BalancerSteering
{
public:
    /// @param directory must outlive the balancer
    BalancerSteering(BalancerSteeringSettings settings, Directory &directory, PacketCodec codec,
                     BalancerSteeringHooks hooks, Random random);

    void onPacket(const Segment &segment, PacketBytes bytes, Instant now);
    void onLoadReport(const LoadReport &report, Instant now);
    /// @brief Records the owner of a flow, as reported by the owner.
    void onFlowLocated(const FlowLocated &located, Instant now);
    /// @brief Must be called at least every 20 ms.
    void onTick(Instant now);
    /// @brief Call after a change or a confirmation of the configuration view.
    void onViewChange(Instant now) { m_unrouted.resolve(now); }

    /// @brief Changes the rate of the outgoing link; 0 switches the limits on bulk flows off.
    void setLinkRate(double mbps, Instant now) { m_link.setRate(mbps, now); }

    /// @brief What this process knows of a flow; changes no state.
    [[nodiscard]] FlowExplanation explain(const FlowKey &flow, Instant now) const;
    [[nodiscard]] const BalancerSteeringCounters &counters() const noexcept { return m_counters; }
    [[nodiscard]] const EntryLink &link() const noexcept { return m_link; }
    [[nodiscard]] const UnroutedFlows &unroutedFlows() const noexcept { return m_unrouted; }
    [[nodiscard]] std::size_t flowCount() const noexcept { return m_flows.size(); }

private:
    struct PlacedFlow
    {
        Endpoint agent;
        std::vector<Endpoint> tried; ///< agents that the flow was offered to, in order
        Instant lastSeen;
        Instant offeredAt;
        bool established = false; ///< the caller has acknowledged the upstream's answer
        bool ownerUnknown = false; ///< packets of the flow are sent to one of its homes
        Instant searchedSince; ///< when its owner became unknown
        Instant locatedAt; ///< when its owner was last reported
        PacketBytes openingPacket;
        LinkFlow link;
    };

    /// @param heldTime time for which this process has held the packet
    void onOpening(const Segment &segment, PacketBytes bytes, Instant now, Millis heldTime = {});
    void placeOpening(const Segment &segment, PacketBytes bytes, Instant now);
    /// @name Outgoing link, see EntryLink
    /// @{
    void transmit(const Endpoint &agent, const PacketBytes &bytes, Instant now);
    void sendReset(const Segment &segment, Instant now);
    /// @brief Decides whether the link has room for a new flow.
    /// @return false if the opening packet may be placed now; else it was queued or refused
    bool waitsForLink(const Segment &segment, PacketBytes &bytes, Instant now, Millis heldTime);
    void placeOpeningsWaitingForLink(Instant now);
    void refuseForLink(const Segment &segment, std::string_view reason, Instant now);
    /// @}
    void holdOpening(const Segment &segment, PacketBytes bytes, Instant now);
    /// @brief Handles a packet whose route is not in the configuration view.
    /// @param receivedAt when this process received it
    void onUnrouted(const Segment &segment, PacketBytes bytes, Instant receivedAt, Instant now);
    [[nodiscard]] UnroutedFlowsHooks unroutedHooks();
    /// @brief Places an opening packet that this process has held since `lastCopyAt`.
    void resumeOpening(const Segment &segment, PacketBytes bytes, Instant lastCopyAt, Instant now);
    void placeHeldOpenings(Instant now);
    void offerToAgent(const FlowKey &key, const RouteEntry &route, PlacedFlow &flow,
                      std::string_view reason, Instant now);
    void sendToHome(const Segment &segment, const RouteEntry &route, PacketBytes bytes,
                    Instant now);
    [[nodiscard]] Endpoint chooseHome(const FlowHomes &homes, const PlacedFlow &flow,
                                      Instant now) const;
    /// @brief Whether the flow's upstream has departed and its agent was not asked recently.
    [[nodiscard]] bool mayHaveEnded(const PlacedFlow &flow, Instant now) const;
    void rejectFlow(const Segment &segment, std::string_view reason, Instant now);
    [[nodiscard]] std::optional<Endpoint> chooseAgent(const FlowKey &key, const RouteEntry &route,
                                                      const std::vector<Endpoint> &tried,
                                                      Instant now);
    [[nodiscard]] std::optional<Endpoint> leastLoadedCandidate(const ServiceTable &table,
                                                               const FlowKey &key,
                                                               const std::vector<Endpoint> &tried,
                                                               Instant now) const;
    [[nodiscard]] std::optional<Endpoint> leastLoaded(const std::vector<Endpoint> &agents,
                                                      Instant now) const;
    [[nodiscard]] bool hasReportedSinceOffer(const PlacedFlow &flow) const;
    [[nodiscard]] bool isSuspect(const Endpoint &agent, Instant now) const;
    void logDecision(std::string_view decision, std::string_view reason, const FlowKey &flow,
                     const Endpoint &target, Instant now);
    void checkOfferTimeouts(Instant now);
    void onProcessPause(Instant now);
    void expireFlows(Instant now);

    BalancerSteeringSettings m_settings;
    Directory &m_directory;
    PacketCodec m_codec;
    BalancerSteeringHooks m_hooks;
    PeerLoadTable m_peerLoads;
    std::unordered_map<FlowKey, PlacedFlow> m_flows;
    /// Offers that have not been confirmed by the caller's next packet, oldest first.
    std::deque<FlowTimer> m_offerTimers;
    struct HeldOpening
    {
        Segment segment;
        PacketBytes bytes;
        Instant heldSince;
        Instant lastCopyAt; ///< when the latest copy of the packet arrived
    };
    std::unordered_map<FlowKey, HeldOpening> m_heldOpenings;
    UnroutedFlows m_unrouted;
    EntryLink m_link;
    std::unordered_map<FlowKey, HeldOpening> m_linkOpenings; ///< opening packets that wait for it
    std::deque<FlowKey> m_linkQueue; ///< flows of m_linkOpenings, oldest first
    std::deque<FlowKey> m_expiryQueue; ///< order in which flows are checked for expiry
    std::unordered_map<Endpoint, Instant> m_suspectUntil;
    Instant m_lastTick;
    BalancerSteeringCounters m_counters;
};

} // namespace bergamotglade

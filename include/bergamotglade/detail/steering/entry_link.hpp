/// @file
/// Capacity of a balancer's outgoing link.
///
/// Load pattern: flows that carry many packets, through a balancer whose link is small, beside
/// flows of a few packets. Without a limit the packets queue in the link for longer than the
/// callers' retransmission timeout, and the retransmissions double the load.
#pragma once

#include <bergamotglade/detail/steering/segment.hpp>

#include <array>
#include <unordered_map>
#include <vector>

namespace bergamotglade {

/// Limits of a balancer's outgoing link.
struct EntryLinkSettings
{
    /// Rate in Mbit/s of both directions together; 0 switches all limits off.
    double mbps = 0;
    /// Share of the rate that the model uses; the rest is for control messages.
    double usableShare = 0.95;
    /// Delay that the windows of all flows in transfer may cause together. Callers retransmit
    /// after 200 ms.
    Millis transferDelayMax {120};
    /// A flow that has sent more than 8 data packets (LinkFlow::RecentPackets) within this time is
    /// in transfer.
    Millis transferWindow {250};
    Millis bulkDelayMax {60}; ///< modelled delay beyond which no bulk flow starts
    double bulkShareMin = 0.5; ///< share of transfers among the flows of a bulk route
    std::uint32_t bulkFlowsMin = 8; ///< flows of a route that must be known
    std::size_t waitingMax = 256; ///< opening packets that may wait for the link
    /// The caller sends the second copy of an opening packet after 200 ms and must have a decision
    /// by then.
    Millis waitMax {150};
    Millis repeatDelayMin {100}; ///< modelled delay beyond which repeated packets are dropped
    Millis repeatAgeMax {200}; ///< a repetition of an older packet is sent
};

/// Data packets that a flow sent recently. Kept with the flow, so that its packets need no further
/// look-up.
struct LinkFlow
{
    static constexpr std::size_t RecentPackets = 8;

    std::array<std::uint32_t, RecentPackets> sentAtMs {}; ///< low bits of the times, circular
    std::uint8_t next = 0; ///< position of the oldest time
    std::uint8_t count = 0; ///< times that are set
    bool wasTransfer = false; ///< counted as a transfer of its route
};

enum class LinkDecision : std::uint8_t { Pass, Hold, Refuse };

/// Model of the outgoing link; decides whether bulk flows may start. Performs no I/O.
class EntryLink
{
public:
    explicit EntryLink(EntryLinkSettings settings);

    [[nodiscard]] bool isEnabled() const noexcept { return m_settings.mbps > 0; }
    /// @brief Changes the rate; packets in the model remain.
    void setRate(double mbps, Instant now);
    [[nodiscard]] const EntryLinkSettings &settings() const noexcept { return m_settings; }

    /// @brief Counts a sent packet, without its UDP and IP headers.
    /// @complexity constant
    void onSent(std::size_t bytes, Instant now);
    /// @brief Whether a data packet repeats one that is still in the link. Remembers it if not.
    /// @complexity constant
    [[nodiscard]] bool isRepeat(const Segment &segment, Instant now);
    /// @brief Counts a data packet of a flow.
    /// @complexity constant; a look-up only for the first data packet and flows in transfer
    void onData(const FlowKey &key, LinkFlow &flow, Instant now);
    /// @brief Decides about the opening packet of a new flow.
    /// @param waiting number of opening packets that wait already
    [[nodiscard]] LinkDecision decideOpening(const Endpoint &route, std::size_t waiting,
                                             Instant now) const;
    /// @brief Whether a bulk flow may start now.
    [[nodiscard]] bool hasRoom(Instant now) const;
    /// @brief Counts a bulk flow as a transfer from its opening packet on, so that flows that open
    /// together do not all find the same room.
    void onBulkStarted(const FlowKey &key, Instant now);
    /// @brief Ends the transfer of a flow whose request has been sent completely, once the link has
    /// carried it.
    void onRequestEnd(const FlowKey &key, Instant now);
    /// @brief Removes flows that are no longer in transfer.
    /// @complexity linear in the flows in transfer
    void onTick(Instant now);

    [[nodiscard]] bool isBulk(const Endpoint &route) const;
    [[nodiscard]] double delayMs(Instant now) const;
    /// @brief Number of flows in transfer, with the bulk flows that have just started.
    [[nodiscard]] std::size_t transferCount() const noexcept { return m_transfers.size(); }
    [[nodiscard]] std::size_t transfersMax() const noexcept;

private:
    /// Flows of a route and those that became transfers, both smoothed.
    struct RouteShare
    {
        double flows = 0;
        double transfers = 0;
        std::uint32_t known = 0; ///< flows counted, up to bulkFlowsMin
    };
    struct SentPacket
    {
        std::uint64_t hash = 0;
        Instant at;
    };

    [[nodiscard]] double bytesPerMs() const noexcept;
    [[nodiscard]] double backlogBytes(Instant now) const;
    [[nodiscard]] RouteShare &shareOf(const Endpoint &route);

    EntryLinkSettings m_settings;
    double m_backlogBytes = 0; ///< at m_countedAt
    Instant m_countedAt;
    /// Flows in transfer and the end of their transfer if they send nothing more.
    std::unordered_map<FlowKey, Instant> m_transfers;
    std::unordered_map<Endpoint, RouteShare> m_routes;
    /// Data packets sent recently, at the position of their hash; empty until the part is used.
    std::vector<SentPacket> m_sent;
};

} // namespace bergamotglade

/// @file
/// Load of the peers, as last reported by them.
#pragma once

#include <bergamotglade/detail/core/random.hpp>
#include <bergamotglade/detail/node/packet.hpp>

#include <optional>
#include <unordered_map>

namespace bergamotglade {

/// Parameters of load comparison and silence detection.
struct PlacementSettings
{
    Millis reportAgeMax {2500}; ///< maximum age of a report that is used to estimate load
    Millis silenceTimeout {1500}; ///< time without reports after which a watched peer is suspect
    Millis silenceRepeat {20'000}; ///< interval at which takeSilent() returns a silent peer again
    /// Upper bound of the expected time at a chosen peer, relative to the time at this agent.
    double placementRatio = 0.75;
    double lendUtilization = 0.6; ///< own utilization above which idempotent requests may be lent
    std::size_t sampledPeers = 3; ///< number of random peers compared per decision
    /// Time constant, in service times, of the exponential decay by which requests sent since the
    /// last report are assumed to complete.
    double sentDecay = 2;
};

/// Load of one agent, for comparing how long a new request would take.
struct LoadEstimate
{
    double running = 0;
    double queued = 0;
    double limit = 1;
    double serviceTimeMs = 0;

    /// @brief Utilization of the limit with one more request; above 1 requests are queued.
    [[nodiscard]] double utilization() const noexcept
    {
        return (running + queued + 1) / (limit < 1 ? 1 : limit);
    }
    /// @brief Expected time to answer a new request, in milliseconds.
    [[nodiscard]] double expectedMs() const noexcept;
};

/// Last load reports of the peers, adjusted for the requests sent to them since.
class PeerLoadTable
{
public:
    PeerLoadTable(PlacementSettings settings, Random random);

    void onReport(const LoadReport &report, Instant now);
    /// @brief Records a flow or request sent to a peer and not yet included in its report.
    void onSent(const Endpoint &peer, Instant now);

    /// @brief Samples a few peers and returns the least loaded, if clearly less loaded than `own`.
    /// @param own load of this process
    /// @param eligible called for each peer with a recent report; false excludes the peer
    /// @return nullopt if no sampled peer is clearly less loaded
    /// @complexity n log n in the peers, which are sorted by address
    [[nodiscard]] std::optional<Endpoint>
    findLessLoadedPeer(const LoadEstimate &own, Instant now,
                       const std::function<bool(const Endpoint &)> &eligible) const;

    /// @brief Estimated load of a peer. A peer without a recent report is taken to have only the
    /// requests sent to it since its last report, and the mean service time of the others.
    [[nodiscard]] LoadEstimate estimate(const Endpoint &peer, Instant now) const;
    /// @brief Time of the peer's last report; the zero instant if there is none.
    [[nodiscard]] Instant lastReportAt(const Endpoint &peer) const;
    /// @brief Age of the peer's last report; zero if there is none.
    [[nodiscard]] Millis reportAgeOf(const Endpoint &peer, Instant now) const;
    /// @brief Whether the peer's last report is recent enough to be used.
    [[nodiscard]] bool isFresh(const Endpoint &peer, Instant now) const;
    /// @brief Sets the peers that send every report to this process, so that silence is detectable.
    void setWatched(const std::vector<Endpoint> &peers, Instant now);
    /// @brief Whether a watched peer has exceeded the silence time-out.
    [[nodiscard]] bool isSilent(const Endpoint &peer, Instant now) const;
    /// @brief Returns watched peers that are silent, each again after `silenceRepeat`.
    std::vector<Endpoint> takeSilent(Instant now);
    /// @brief Incarnation in the peer's last report, or nullopt if there is no report.
    [[nodiscard]] std::optional<Incarnation> incarnationOf(const Endpoint &peer) const;
    /// @brief Whether the peer's last report says that it is draining.
    [[nodiscard]] bool isDraining(const Endpoint &peer) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_peers.size(); }

private:
    struct Peer
    {
        LoadReport report;
        Instant lastHeard;
        double sentSinceReport = 0; ///< requests sent since the report, as of sentAt
        Instant sentAt;
    };
    struct Watched
    {
        Instant lastHeard;
        Instant lastReturned; ///< by takeSilent(); zero if not since it was last heard
    };

    [[nodiscard]] LoadEstimate estimateOf(const Peer &peer, double meanServiceTimeMs,
                                          Instant now) const;
    [[nodiscard]] double outstandingSent(const Peer &peer, Instant now) const;
    [[nodiscard]] double meanServiceTimeMs(Instant now) const;

    PlacementSettings m_settings;
    Random m_random;
    std::unordered_map<Endpoint, Peer> m_peers;
    std::unordered_map<Endpoint, Watched> m_watched;
};

} // namespace bergamotglade

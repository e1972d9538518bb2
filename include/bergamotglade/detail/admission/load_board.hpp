/// @file
/// What the agents of one service know of each other's load.
#pragma once

#include <bergamotglade/detail/core/random.hpp>
#include <bergamotglade/detail/node/packet.hpp>

#include <optional>
#include <unordered_map>

namespace bergamotglade {

/// Bounds of load comparison.
struct PlacementSettings
{
    Millis reportAge {2500}; ///< older reports do not count
    Millis silence {1500}; ///< a watched peer silent for longer is suspect
    Millis nameAgain {20'000}; ///< a silent peer is named again after this
    double better = 0.75; ///< hand on when a peer expects less than this share of our wait
    double lendAbove = 0.6; ///< own use above which idempotent requests may be lent
    std::size_t choices = 3; ///< peers compared for one flow or request
    /// Usual times after which a request that was sent since the last report has mostly ended.
    double sentMemory = 2;
};

/// Load of one agent in comparable form: how long a request that comes now would take.
struct LoadEstimate
{
    double running = 0;
    double queued = 0;
    double limit = 1;
    double serviceTimeMs = 0;

    /// @brief Share of the slots that would be taken with one more request.
    [[nodiscard]] double use() const noexcept
    {
        return (running + queued + 1) / (limit < 1 ? 1 : limit);
    }
    /// @brief Expected time to answer, in milliseconds.
    [[nodiscard]] double expectedMs() const noexcept;
};

/// Peers' last reports, corrected by what was sent to them since.
class LoadBoard
{
public:
    LoadBoard(PlacementSettings settings, Random random);

    void onReport(const LoadReport &report, Instant now);
    /// @brief We sent a peer a flow or a request that its report cannot show yet.
    void onSent(const Endpoint &peer, Instant now);

    /// @brief The best of a few peers, if it is clearly better than `own`.
    /// @param own our own load
    /// @param eligible asked for each peer; a peer for which it is false is not taken
    /// @return null where none is clearly better
    /// @complexity linear in the peers
    [[nodiscard]] std::optional<Endpoint>
    clearlyBetter(const LoadEstimate &own, Instant now,
                  const std::function<bool(const Endpoint &)> &eligible) const;

    /// @brief What is known of a peer's load; an idle one of the usual speed where nothing is.
    [[nodiscard]] LoadEstimate estimate(const Endpoint &peer, Instant now) const;
    /// @brief When the peer reported last; the zero instant where it never did.
    [[nodiscard]] Instant heardAt(const Endpoint &peer) const;
    /// @brief Age of the peer's last report; zero where there is none.
    [[nodiscard]] Millis ageOf(const Endpoint &peer, Instant now) const;
    /// @brief Whether the peer reported lately.
    [[nodiscard]] bool isFresh(const Endpoint &peer, Instant now) const;
    /// @brief Names the peers that report here every time, so that their silence means something.
    void watch(const std::vector<Endpoint> &peers, Instant now);
    /// @brief Whether a watched peer has been silent for too long.
    [[nodiscard]] bool isSilent(const Endpoint &peer, Instant now) const;
    /// @brief Watched peers that are silent; each is named again after a while.
    std::vector<Endpoint> takeSilent(Instant now);
    /// @brief The life in which a peer reported last; none where it never did.
    [[nodiscard]] std::optional<Incarnation> incarnationOf(const Endpoint &peer) const;
    /// @brief Whether the peer is known to hand its flows over.
    [[nodiscard]] bool isDraining(const Endpoint &peer) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_peers.size(); }

private:
    struct Peer
    {
        LoadReport report;
        Instant heard;
        double sentSince = 0; ///< requests sent since the report, as of sentAt
        Instant sentAt;
    };
    struct Watched
    {
        Instant heard;
        Instant named;
    };

    [[nodiscard]] LoadEstimate estimateOf(const Peer &peer, double usualTimeMs, Instant now) const;
    [[nodiscard]] double sentStillThere(const Peer &peer, Instant now) const;
    [[nodiscard]] double usualTimeMs(Instant now) const;

    PlacementSettings m_settings;
    Random m_random;
    std::unordered_map<Endpoint, Peer> m_peers;
    std::unordered_map<Endpoint, Watched> m_watched;
};

} // namespace bergamotglade

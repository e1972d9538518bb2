/// @file
/// Least share of the capacity for each route with waiting flows.
///
/// Load pattern: flows of a higher priority alone take the capacity, so that flows of the other
/// routes would wait until their callers give up.
#pragma once

#include <bergamotglade/detail/core/endpoint.hpp>

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bergamotglade {

/// Counts departures from a queue since each waiting route's last one.
class RouteTurns
{
public:
    /// @param floorShare share of the departures that each waiting route gets at least
    explicit RouteTurns(double floorShare)
        : m_floorShare(floorShare)
    { }

    /// @brief Sets the routes with waiting flows; routes that no longer wait are forgotten.
    void setWaiting(const std::vector<Endpoint> &routes);
    /// @brief Records a flow of a route that left the queue for the upstream.
    void onDeparture(const Endpoint &route);
    /// @brief The waiting route whose turn is due; of several the one with the most departures of
    /// others since its last turn.
    [[nodiscard]] std::optional<Endpoint> due() const;
    /// @brief Share that each waiting route gets at least.
    [[nodiscard]] double share() const noexcept;

private:
    double m_floorShare;
    std::unordered_map<Endpoint, std::uint32_t> m_sinceTurn;
};

} // namespace bergamotglade

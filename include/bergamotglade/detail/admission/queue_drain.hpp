/// @file
/// Expected wait in a queue under sustained demand beyond the capacity.
///
/// Load pattern: demand at 1.2 to 2 times the capacity, with callers that try again. A flow whose
/// turn comes after its caller has given up only costs the caller time for another attempt.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>

#include <limits>
#include <map>
#include <optional>

namespace bergamotglade {

/// Number of events per second, smoothed over about a second of observation.
class SmoothedRate
{
public:
    /// @brief Advances to `now`.
    /// @param observed whether the time since the last call counts as observation
    void advance(Instant now, bool observed);
    void add(double events) noexcept { m_events += events; }
    /// @brief Events per second; 0 before any observation.
    [[nodiscard]] double perSecond() const noexcept;
    /// @brief Observed time that the rate is based on, at most about a second.
    [[nodiscard]] Millis observation() const noexcept;

private:
    double m_events = 0;
    double m_seconds = 0;
    Instant m_last;
};

/// Flows ahead of a waiting flow.
struct FlowsAhead
{
    double flows = 0; ///< flows that go before it, itself included
    double arrivingPerSecond = 0; ///< flows that are expected to arrive and to go before it
};

/// Rates at which flows enter and leave the queue.
class QueueDrain
{
public:
    /// @param observationMin without this much observation no wait is predicted
    /// @param gapMax a longer time between two calls is a pause of the process, not observation
    /// @param sustainedAfter see isSustained()
    QueueDrain(Millis observationMin, Millis gapMax, Millis sustainedAfter);

    /// @brief Advances to `now`; the time since the last call counts if flows were waiting.
    void advance(Instant now, bool waiting);
    void onArrival(std::uint32_t priority);
    void onDeparture() { m_departures.add(1); }

    /// @brief Whether flows have been waiting for at least sustainedAfter, apart from gaps of up to
    /// IdleMax.
    [[nodiscard]] bool isSustained() const noexcept;
    /// @brief Flows that leave the queue per second; nullopt without enough observation.
    [[nodiscard]] std::optional<double> perSecond() const;
    /// @brief Arrivals per second of priorities above `priority`, or also of itself.
    /// @complexity linear in the priorities
    [[nodiscard]] double arrivalsBefore(std::uint32_t priority, bool inclusive) const;
    /// @brief Time until a flow's turn.
    /// @param ahead flows ahead of it while it can still meet its objective
    /// @param aheadWhenLate the same once it cannot
    /// @param untilLate time until it can no longer meet its objective
    /// @param perSecond flows that are served per second
    /// @return Never if the flows that go before it take all capacity
    [[nodiscard]] static Millis expectedWait(const FlowsAhead &ahead,
                                             const FlowsAhead &aheadWhenLate, Millis untilLate,
                                             double perSecond);

    static constexpr Millis Never = Millis::max();

private:
    /// Arrivals are recorded for this many priorities; further ones share the last.
    static constexpr std::uint32_t PrioritiesMax = 16;

    /// A queue that is empty for longer has recovered.
    static constexpr Millis IdleMax {500};

    Millis m_observationMin;
    Millis m_gapMax;
    Millis m_sustainedAfter;
    Instant m_waitingSince;
    Instant m_lastWaitingAt;
    SmoothedRate m_departures;
    std::map<std::uint32_t, SmoothedRate> m_arrivals;
    Instant m_last;
};

} // namespace bergamotglade

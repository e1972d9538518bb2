/// @file
/// Detects a failing upstream from the outcomes of its requests.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>

namespace bergamotglade {

struct OutcomeTrackerSettings
{
    /// Weight of one request in the average share of failures: three consecutive failures make an
    /// upstream failing, two do not.
    double sampleWeight = 0.2;
    /// An upstream whose share of failures exceeds this is failing.
    double failAbove = 0.4;
    /// A failing upstream whose share of failures has fallen to this has recovered; at most nine
    /// consecutive answers are needed.
    double recoverBelow = 0.15;
    /// A failing upstream gets one new flow as a probe this long after a failure or the last probe.
    Millis probeInterval {300};
};

/// Moving average of the share of requests that an upstream ended without an answer, with
/// hysteresis.
///
/// An upstream that fails its requests immediately appears idle and would attract more flows than
/// any other, and its health endpoint may not show the fault.
class OutcomeTracker
{
public:
    explicit OutcomeTracker(OutcomeTrackerSettings settings = {});

    /// @brief Records the outcome of one request.
    /// @return whether isFailing() changed
    /// @complexity constant
    bool recordOutcome(bool answered, Instant now);
    [[nodiscard]] bool isFailing() const noexcept { return m_failing; }
    /// @brief Whether a failing upstream may get a new flow now, as a probe. Returning true delays
    /// the next probe.
    bool claimProbe(Instant now);
    /// @brief Clears all state, after a restart of the upstream.
    void reset();

private:
    OutcomeTrackerSettings m_settings;
    double m_failureShare = 0;
    bool m_failing = false;
    Instant m_nextProbeAt;
};

} // namespace bergamotglade

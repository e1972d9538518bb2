/// @file
/// Judges an upstream by how its requests end.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>

namespace bergamotglade {

struct OutcomeTrackerSettings
{
    /// Share of one request in the smoothed share of failures: three in a row make an upstream
    /// failing, one never does.
    double sampleShare = 0.2;
    /// An upstream with a larger share of failures is failing.
    double enterShare = 0.4;
    /// A failing upstream with a smaller share is working again: nine answers in a row at most.
    double leaveShare = 0.15;
    /// A failing upstream gets one new flow as a probe after each failure and this time.
    Millis probeInterval {300};
};

/// Smoothed share of requests that an upstream broke off without an answer, with hysteresis.
///
/// An upstream that fails at once looks idle and would draw more flows than any other; its health
/// endpoint may say nothing of it.
class OutcomeTracker
{
public:
    explicit OutcomeTracker(OutcomeTrackerSettings settings = {});

    /// @brief One request has ended.
    /// @return whether the verdict changed
    /// @complexity constant
    bool onOutcome(bool answered, Instant now);
    [[nodiscard]] bool isFailing() const noexcept { return m_failing; }
    /// @brief Whether a failing upstream may get a new flow now. The next one has to wait.
    bool takeProbe(Instant now);
    /// @brief Forgets everything: the upstream has started anew.
    void reset();

private:
    OutcomeTrackerSettings m_settings;
    double m_failures = 0;
    bool m_failing = false;
    Instant m_probeAt;
};

} // namespace bergamotglade

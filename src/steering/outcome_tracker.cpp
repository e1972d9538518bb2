#include <bergamotglade/detail/steering/outcome_tracker.hpp>

namespace bergamotglade {

OutcomeTracker::OutcomeTracker(OutcomeTrackerSettings settings)
    : m_settings(settings)
{ }

bool OutcomeTracker::recordOutcome(bool answered, Instant now)
{
    m_failureShare += m_settings.sampleWeight * ((answered ? 0 : 1) - m_failureShare);
    // An answer allows the next probe at once.
    m_nextProbeAt = answered ? now : now + m_settings.probeInterval;
    const bool wasFailing = m_failing;
    m_failing = m_failureShare > (wasFailing ? m_settings.recoverBelow : m_settings.failAbove);
    return m_failing != wasFailing;
}

bool OutcomeTracker::claimProbe(Instant now)
{
    if (now < m_nextProbeAt) {
        return false;
    }
    m_nextProbeAt = now + m_settings.probeInterval;
    return true;
}

void OutcomeTracker::reset()
{
    *this = OutcomeTracker(m_settings);
}

} // namespace bergamotglade

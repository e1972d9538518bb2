#include <bergamotglade/detail/steering/outcome_tracker.hpp>

namespace bergamotglade {

OutcomeTracker::OutcomeTracker(OutcomeTrackerSettings settings)
    : m_settings(settings)
{ }

bool OutcomeTracker::onOutcome(bool answered, Instant now)
{
    m_failures += m_settings.sampleShare * ((answered ? 0 : 1) - m_failures);
    // An answer asks for the next probe at once.
    m_probeAt = answered ? now : now + m_settings.probeInterval;
    const bool was = m_failing;
    m_failing = m_failures > (was ? m_settings.leaveShare : m_settings.enterShare);
    return m_failing != was;
}

bool OutcomeTracker::takeProbe(Instant now)
{
    if (now < m_probeAt) {
        return false;
    }
    m_probeAt = now + m_settings.probeInterval;
    return true;
}

void OutcomeTracker::reset()
{
    *this = OutcomeTracker(m_settings);
}

} // namespace bergamotglade

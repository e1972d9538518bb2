/// @file
/// Detects that this process was paused.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>

#include <algorithm>

namespace bergamotglade {

/// A gap between events that is longer than the threshold counts as a pause: the process's view of
/// the configuration and the datagrams queued in the socket may be outdated. The view stays suspect
/// until those datagrams have been read and a peer or the platform has confirmed the view, or until
/// a time-out expires.
class PauseDetector
{
public:
    /// @param threshold longest gap between events that is not a pause
    /// @param confirmationTimeout time after which the view is used without confirmation
    PauseDetector(Millis threshold, Millis confirmationTimeout)
        : m_threshold(threshold)
        , m_confirmationTimeout(confirmationTimeout)
    { }

    /// @brief Call before every event.
    /// @return true if a pause has just been detected
    bool observe(Instant now)
    {
        const bool paused = m_started && now - m_lastEvent > m_threshold;
        m_lastEvent = std::max(m_lastEvent, now);
        m_started = true;
        if (paused) {
            m_suspectUntil = now + m_confirmationTimeout;
            m_pausedAt = now;
            m_confirmed = false;
            m_backlogRead = false;
        }
        return paused;
    }

    /// @brief Records that a peer or the platform confirmed the view.
    /// @param since when the confirmation was requested; ignored if before the pause was detected
    void confirm(Instant since)
    {
        if (since >= m_pausedAt) {
            m_confirmed = true;
            clearIfConfirmed();
        }
    }
    /// @brief Records that the datagrams queued during the pause have been read.
    void onBacklogRead()
    {
        m_backlogRead = true;
        clearIfConfirmed();
    }

    [[nodiscard]] bool isSuspect(Instant now) const { return now < m_suspectUntil; }

private:
    void clearIfConfirmed()
    {
        if (m_confirmed && m_backlogRead) {
            m_suspectUntil = Instant();
        }
    }

    Millis m_threshold;
    Millis m_confirmationTimeout;
    Instant m_lastEvent;
    Instant m_suspectUntil;
    Instant m_pausedAt;
    bool m_confirmed = false;
    bool m_backlogRead = false;
    bool m_started = false;
};

} // namespace bergamotglade

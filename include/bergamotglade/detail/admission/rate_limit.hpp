/// @file
/// A token bucket.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>

#include <algorithm>

namespace bergamotglade {

/// Admits a steady rate, and a burst beyond it.
class RateLimit
{
public:
    /// @param burst tokens that can be saved up; also the start
    explicit RateLimit(double burst = 1)
        : m_burst(burst)
        , m_tokens(burst)
    { }

    /// @brief Takes one token.
    /// @param perSecond rate at which tokens come; a change of it takes effect at once
    /// @return false when none is left
    bool admit(double perSecond, Instant now)
    {
        constexpr double MillisPerSecond = 1000;
        const double gained =
            static_cast<double>((now - m_last).count()) * perSecond / MillisPerSecond;
        m_tokens = std::min(m_burst, m_tokens + gained);
        m_last = now;
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    double m_burst;
    double m_tokens;
    Instant m_last;
};

} // namespace bergamotglade

/// @file
/// Token-bucket rate limiter.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>

#include <algorithm>

namespace bergamotglade {

/// Admits events at a sustained rate and allows bursts.
class RateLimit
{
public:
    /// @param burst capacity of the bucket, which starts full
    explicit RateLimit(double burst = 1)
        : m_burst(burst)
        , m_tokens(burst)
    { }

    /// @brief Takes one token.
    /// @param perSecond refill rate in tokens per second; may differ between calls
    /// @return false if no token is available
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

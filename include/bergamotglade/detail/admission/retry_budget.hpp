/// @file
/// Limits retries to a share of the requests, so that refusals do not cause a retry storm.
#pragma once

#include <algorithm>

namespace bergamotglade {

/// Token bucket: each request adds a share of a token, each retry takes one.
class RetryBudget
{
public:
    /// @param share tokens added per request
    /// @param reserve capacity of the bucket, which starts full
    explicit RetryBudget(double share = 0.2, double reserve = 10)
        : m_share(share)
        , m_reserve(reserve)
        , m_tokens(reserve)
    { }

    void onRequest() noexcept { m_tokens = std::min(m_reserve, m_tokens + m_share); }

    /// @brief Takes a token for one retry.
    /// @return false if no token is available
    bool spend() noexcept
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    double m_share;
    double m_reserve;
    double m_tokens;
};

} // namespace bergamotglade

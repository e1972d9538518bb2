/// @file
/// Work of an upstream by priority.
///
/// Load pattern: requests of a lower priority on flows that are already open take all slots, so
/// that new flows of a higher priority would wait for them.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <numeric>

namespace bergamotglade {

/// Counts running requests and handshakes per priority; 0 is the highest.
class PriorityLoad
{
public:
    void add(std::uint32_t priority) noexcept { ++m_counts[indexOf(priority)]; }
    void remove(std::uint32_t priority) noexcept { --m_counts[indexOf(priority)]; }
    /// @brief Count of a priority and all higher ones.
    [[nodiscard]] std::uint32_t upTo(std::uint32_t priority) const noexcept
    {
        return std::accumulate(m_counts.begin(), m_counts.begin() + indexOf(priority) + 1, 0U);
    }

private:
    /// Further priorities count as the last.
    static constexpr std::uint32_t PrioritiesMax = 16;

    [[nodiscard]] static std::uint32_t indexOf(std::uint32_t priority) noexcept
    {
        return std::min(priority, PrioritiesMax - 1);
    }

    std::array<std::uint32_t, PrioritiesMax> m_counts {};
};

} // namespace bergamotglade

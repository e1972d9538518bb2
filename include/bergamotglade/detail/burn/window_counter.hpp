/// @file
/// Counts of good and all requests over sliding windows.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>

#include <array>
#include <cstdint>

namespace bergamotglade {

/// Number of requests that met the objective, and of all requests.
struct RequestCounts
{
    std::uint64_t good = 0;
    std::uint64_t all = 0;

    RequestCounts &operator+=(const RequestCounts &other) noexcept
    {
        good += other.good;
        all += other.all;
        return *this;
    }
};

/// Ring buffer of time slots that covers one hour.
class WindowCounter
{
public:
    static constexpr Millis SlotLength {10'000};
    static constexpr std::size_t SlotCount = 360;

    void add(const RequestCounts &count, Instant now);
    /// @brief Sum over the last `window`, rounded down to whole slots: at least one, at most one
    /// hour.
    /// @complexity linear in the number of slots
    [[nodiscard]] RequestCounts sum(Millis window, Instant now) const;

private:
    struct Slot
    {
        std::int64_t index = -1;
        RequestCounts count;
    };

    std::array<Slot, SlotCount> m_slots {};
};

} // namespace bergamotglade

/// @file
/// The clock of the library: all times and durations are whole milliseconds.
#pragma once

#include <chrono>
#include <cstdint>

#include <ctime>

namespace bergamotglade {

/// A steady clock in milliseconds. Satisfies the standard Clock requirements.
struct Clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;

    /// @brief The current time. Called by I/O adapters only; state machines are passed the time.
    /// @return milliseconds since an arbitrary start, including time in suspension, so that a
    /// process detects that its machine was suspended
    /// @exceptionsafety no-throw
    static time_point now() noexcept
    {
        std::timespec since {};
        clock_gettime(CLOCK_BOOTTIME, &since);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(since.tv_sec) + std::chrono::nanoseconds(since.tv_nsec)));
    }
};

/// A duration in milliseconds.
using Millis = Clock::duration;
/// A point in time of Clock.
using Instant = Clock::time_point;

} // namespace bergamotglade

/// @file
/// Adaptive concurrency limit of one upstream, derived from latency and failures.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>

#include <cstdint>

namespace bergamotglade {

/// Parameters of the adaptive limit. Limits are numbers of concurrent requests, and ratios are the
/// latency divided by its baseline.
struct LimitSettings
{
    double start = 2; ///< initial and minimum limit
    double max = 512; ///< maximum limit
    double coldLatencyRatio = 2.5; ///< ratio above which the upstream counts as cold
    /// A window that reached the limit raises it by one below this ratio, and lowers it by one at
    /// or above it.
    double steadyLatencyRatio = 1.4;
    double warmupLimit = 4; ///< maximum limit during warm-up
    Millis warmup {5000}; ///< warm-up time after the first answer and after each cold detection
    /// Minimum time between reductions after failures or cold detections.
    Millis reductionInterval {1000};
};

/// Raises the limit while latency, averaged over a window of answers, stays near its baseline. A
/// jump in latency, overdue requests or consecutive failures indicate a cold upstream, one that was
/// restarted or became slow; the limit then restarts from its initial value.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(LimitSettings settings = {});

    /// @brief Whether another request may start while `running` are in progress.
    [[nodiscard]] bool admits(std::size_t running, Instant now) const noexcept;

    /// @brief Records an answer.
    /// @param latency time from start to answer
    /// @param running requests in progress, including this one
    void onSuccess(Millis latency, std::size_t running, Instant now);
    /// @brief Records a refusal, a broken connection or an exceeded deadline.
    void onFailure(Instant now);
    /// @brief Checks the requests in progress, to detect a cold upstream before it answers.
    /// @param overdue number of requests running for longer than overdueAfter()
    void onOverdue(std::size_t overdue, std::size_t running, Instant now);
    /// @brief Running time after which a request is overdue; Millis::max() without a baseline.
    [[nodiscard]] Millis overdueAfter() const noexcept;

    /// @brief Current limit, in concurrent requests.
    [[nodiscard]] double value(Instant now) const noexcept;
    /// @brief Smoothed latency; 0 before the first answer.
    [[nodiscard]] Millis serviceTime() const noexcept;
    /// @brief Number of times the upstream was detected as cold.
    [[nodiscard]] std::uint64_t coldCount() const noexcept { return m_coldCount; }

private:
    void closeWindow(Instant now);
    void resetWindow();
    void restartCold(Instant now);
    [[nodiscard]] bool isWarmingUp(Instant now) const noexcept;

    LimitSettings m_settings;
    double m_limit;
    double m_baseline = 0; ///< latency without queueing, in ms; 0 if unknown
    double m_smoothedLatency = 0; ///< in ms; 0 before the first answer
    double m_windowSum = 0; ///< sum of the latencies, in ms
    double m_windowCount = 0; ///< number of answers
    double m_windowRunning = 0; ///< sum of the requests in progress at each answer
    bool m_windowLimitReached = false; ///< the limit was reached within the window
    std::uint32_t m_limitedWindows = 0; ///< number of windows in which the limit was reached
    bool m_probing = false; ///< limit halved for one window, to measure latency without queueing
    std::uint32_t m_failuresInRow = 0;
    std::uint64_t m_coldCount = 0;
    Instant m_warmupEnd; ///< zero before the first answer, which starts the warm-up
    Instant m_lastReduction;
};

} // namespace bergamotglade

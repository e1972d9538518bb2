#include <bergamotglade/detail/admission/concurrency_limit.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Weight of a new answer in the smoothed latency.
constexpr double SmoothingFactor = 0.1;
/// Smoothing factors by which the baseline follows a window's mean. It rises only at low load, so
/// that queueing in the upstream does not become part of the baseline.
constexpr double BaselineDecrease = 0.3;
constexpr double BaselineIncrease = 0.1;
/// Share of the limit up to which load counts as low; a probe reduces the limit to it.
constexpr double LowLoadShare = 0.5;
/// Minimum number of answers in a window; above a limit of 16 it is half of the limit.
constexpr double WindowAnswersMin = 8;
/// Number of windows that reach the limit between two probes of the baseline.
constexpr std::uint32_t WindowsPerProbe = 40;
/// Minimum baseline for comparisons, in ms; changes of shorter latencies are noise.
constexpr double LatencyFloorMs = 5.0;
/// Consecutive failures after which the upstream counts as cold.
constexpr std::uint32_t FailuresToCold = 3;
/// The upstream counts as cold if at least this many requests, and at least half of those in
/// progress, are overdue.
constexpr std::size_t OverdueMin = 2;
/// Factor by which a failure reduces the limit.
constexpr double FailureReduction = 0.5;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(LimitSettings settings)
    : m_settings(settings)
    , m_limit(settings.start)
{ }

bool ConcurrencyLimit::isWarmingUp(Instant now) const noexcept
{
    return m_warmupEnd == Instant() || now < m_warmupEnd;
}

double ConcurrencyLimit::value(Instant now) const noexcept
{
    double allowed = m_probing ? m_limit * LowLoadShare : m_limit;
    if (isWarmingUp(now)) {
        allowed = std::min(allowed, m_settings.warmupLimit);
    }
    return std::max(1.0, allowed);
}

bool ConcurrencyLimit::admits(std::size_t running, Instant now) const noexcept
{
    return static_cast<double>(running) + 1 <= value(now);
}

void ConcurrencyLimit::onSuccess(Millis latency, std::size_t running, Instant now)
{
    const double sample = std::max(1.0, static_cast<double>(latency.count()));
    if (m_warmupEnd == Instant()) {
        m_warmupEnd = now + m_settings.warmup;
    }
    m_failuresInRow = 0;
    m_smoothedLatency = m_smoothedLatency == 0
        ? sample
        : m_smoothedLatency + SmoothingFactor * (sample - m_smoothedLatency);
    m_windowSum += sample;
    m_windowCount += 1;
    m_windowRunning += static_cast<double>(running);
    m_windowLimitReached = m_windowLimitReached || static_cast<double>(running) + 1 > value(now);
    if (m_windowCount >= std::max(WindowAnswersMin, m_limit / 2)) {
        closeWindow(now);
    }
}

void ConcurrencyLimit::closeWindow(Instant now)
{
    const double mean = m_windowSum / m_windowCount;
    const bool lowLoad = m_windowRunning / m_windowCount <= m_limit * LowLoadShare + 1;
    const bool limitReached = m_windowLimitReached;
    const bool probed = m_probing;
    resetWindow();
    if (m_baseline == 0 || probed) {
        m_baseline = mean;
        return;
    }
    const double ratio = mean / std::max(m_baseline, LatencyFloorMs);
    if (ratio > m_settings.coldLatencyRatio) {
        restartCold(now);
        return;
    }
    if (mean < m_baseline) {
        m_baseline += BaselineDecrease * (mean - m_baseline);
    } else if (lowLoad) {
        m_baseline += BaselineIncrease * (mean - m_baseline);
    }
    if (!limitReached) {
        return;
    }
    ++m_limitedWindows;
    m_probing = m_limitedWindows % WindowsPerProbe == 0;
    const bool capped = isWarmingUp(now) && m_limit >= m_settings.warmupLimit;
    if (ratio < m_settings.steadyLatencyRatio && !capped) {
        m_limit = std::min(m_settings.max, m_limit + 1);
    } else if (ratio >= m_settings.steadyLatencyRatio) {
        m_limit = std::max(m_settings.start, m_limit - 1);
    }
}

void ConcurrencyLimit::resetWindow()
{
    m_windowSum = 0;
    m_windowCount = 0;
    m_windowRunning = 0;
    m_windowLimitReached = false;
    m_probing = false;
}

void ConcurrencyLimit::onFailure(Instant now)
{
    ++m_failuresInRow;
    if (m_failuresInRow >= FailuresToCold) {
        restartCold(now);
        return;
    }
    if (now - m_lastReduction >= m_settings.reductionInterval) {
        m_lastReduction = now;
        m_limit = std::max(m_settings.start, m_limit * FailureReduction);
    }
}

void ConcurrencyLimit::onOverdue(std::size_t overdue, std::size_t running, Instant now)
{
    if (running >= OverdueMin && overdue * 2 >= running && overdue >= OverdueMin) {
        restartCold(now);
    }
}

Millis ConcurrencyLimit::overdueAfter() const noexcept
{
    if (m_baseline == 0) {
        return Millis::max();
    }
    const double usual = std::max({m_baseline, m_smoothedLatency, LatencyFloorMs});
    return Millis(static_cast<std::int64_t>(usual * m_settings.coldLatencyRatio));
}

void ConcurrencyLimit::restartCold(Instant now)
{
    if (m_lastReduction != Instant() && now - m_lastReduction < m_settings.reductionInterval) {
        return;
    }
    ++m_coldCount;
    m_lastReduction = now;
    m_limit = m_settings.start;
    m_warmupEnd = now + m_settings.warmup;
    m_baseline = 0;
    m_failuresInRow = 0;
    resetWindow();
}

Millis ConcurrencyLimit::serviceTime() const noexcept
{
    return Millis(static_cast<std::int64_t>(m_smoothedLatency));
}

} // namespace bergamotglade

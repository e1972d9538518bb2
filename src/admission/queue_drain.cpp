#include <bergamotglade/detail/admission/queue_drain.hpp>

#include <algorithm>
#include <cmath>

namespace bergamotglade {

namespace {

constexpr double SmoothingSeconds = 1;
constexpr double MillisPerSecond = 1000;

} // namespace

void SmoothedRate::advance(Instant now, bool observed)
{
    const double passed = static_cast<double>((now - m_last).count()) / MillisPerSecond;
    m_last = now;
    if (passed <= 0) {
        return;
    }
    const double kept = std::exp(-passed / SmoothingSeconds);
    m_events *= kept;
    m_seconds = m_seconds * kept + (observed ? SmoothingSeconds * (1 - kept) : 0);
}

double SmoothedRate::perSecond() const noexcept
{
    return m_seconds <= 0 ? 0 : m_events / m_seconds;
}

Millis SmoothedRate::observation() const noexcept
{
    return Millis(static_cast<std::int64_t>(m_seconds * MillisPerSecond));
}

QueueDrain::QueueDrain(Millis observationMin, Millis gapMax, Millis sustainedAfter)
    : m_observationMin(observationMin)
    , m_gapMax(gapMax)
    , m_sustainedAfter(sustainedAfter)
{ }

void QueueDrain::advance(Instant now, bool waiting)
{
    const bool observed = waiting && now - m_last <= m_gapMax;
    m_last = now;
    if (waiting) {
        if (now - m_lastWaitingAt > IdleMax) {
            m_waitingSince = now;
        }
        m_lastWaitingAt = now;
    }
    m_departures.advance(now, observed);
    for (auto &[priority, rate] : m_arrivals) {
        rate.advance(now, observed);
    }
}

void QueueDrain::onArrival(std::uint32_t priority)
{
    const auto [at, isNew] = m_arrivals.try_emplace(std::min(priority, PrioritiesMax - 1));
    if (isNew) {
        at->second.advance(m_last, false);
    }
    at->second.add(1);
}

bool QueueDrain::isSustained() const noexcept
{
    return m_lastWaitingAt - m_waitingSince >= m_sustainedAfter;
}

std::optional<double> QueueDrain::perSecond() const
{
    if (m_departures.observation() < m_observationMin) {
        return std::nullopt;
    }
    return m_departures.perSecond();
}

double QueueDrain::arrivalsBefore(std::uint32_t priority, bool inclusive) const
{
    double sum = 0;
    for (const auto &[other, rate] : m_arrivals) {
        const bool counts = other < priority || (inclusive && other == priority);
        // A rate that was observed only briefly predicts nothing.
        sum += counts && rate.observation() >= m_observationMin ? rate.perSecond() : 0;
    }
    return sum;
}

Millis QueueDrain::expectedWait(const FlowsAhead &ahead, const FlowsAhead &aheadWhenLate,
                                Millis untilLate, double perSecond)
{
    const auto waitFor = [perSecond](const FlowsAhead &flows) {
        const double left = perSecond - flows.arrivingPerSecond;
        constexpr double LongestMs = 1e9;
        const double ms = left <= 0 ? LongestMs : flows.flows / left * MillisPerSecond;
        return ms >= LongestMs ? Never : Millis(static_cast<std::int64_t>(ms));
    };
    const Millis inTime = waitFor(ahead);
    return inTime <= untilLate ? inTime : waitFor(aheadWhenLate);
}

} // namespace bergamotglade

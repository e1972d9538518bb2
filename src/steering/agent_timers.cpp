// Time at an agent: silent and crashed upstreams, callers that left, expiry.

#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Flows looked at for expiry in one tick.
constexpr std::size_t SweepBudget = 256;

} // namespace

void AgentSteering::onTick(Instant now)
{
    if (now - m_lastTick > m_settings.pause) {
        onPause(now);
    }
    m_lastTick = now;
    checkIncarnation(now);
    checkOffers(now);
    checkAccepted(now);
    checkCrash(now);
    serveQueue(now);
    forgetOld(now);
    sendReports(now, false);
}

void AgentSteering::onPause(Instant now)
{
    // The upstream's answers wait in the socket.
    m_unanswered = 0;
    restartOffers(m_offered, m_flows, now);
}

void AgentSteering::checkOffers(Instant now)
{
    while (!m_offered.empty()) {
        const FlowKey key = m_offered.front().flow;
        const auto found = m_flows.find(key);
        const bool waits = found != m_flows.end() && found->second.stage == FlowStage::Offered
            && found->second.offeredAt == m_offered.front().at;
        if (waits && now - found->second.offeredAt < m_settings.offerTimeout) {
            break;
        }
        m_offered.pop_front();
        if (!waits) {
            continue;
        }
        if (!m_silent) {
            m_silent = true;
            ++m_counters.upstreamSilences;
            m_nextReport = now;
            m_probeAt = now + m_settings.probeInterval;
            note("upstream is silent", "no answer to an opening packet", key, m_settings.upstream,
                 now);
        }
        const PacketBytes opening = found->second.opening;
        const Trail trail = found->second.trail;
        handOn(key, opening, trail, "upstream is silent", 0, now);
    }
}

void AgentSteering::checkAccepted(Instant now)
{
    while (!m_accepted.empty()) {
        const auto found = m_flows.find(m_accepted.front().flow);
        const bool waits = found != m_flows.end() && found->second.waiting
            && found->second.acceptedAt == m_accepted.front().at;
        if (waits && now - found->second.acceptedAt < callerAnswerTime()) {
            return;
        }
        m_accepted.pop_front();
        if (waits) {
            // The caller is gone or late: its flow holds no slot.
            setWaiting(found->second, false);
        }
    }
}

Millis AgentSteering::callerAnswerTime() const
{
    if (m_callerAnswerMs == 0) {
        return m_settings.callerAnswerMax;
    }
    const Millis usual(static_cast<std::int64_t>(m_callerAnswerMs * m_settings.callerAnswerFactor));
    return std::clamp(usual, m_settings.callerAnswerMin, m_settings.callerAnswerMax);
}

void AgentSteering::checkCrash(Instant now)
{
    const bool crashed = m_silent && m_unanswered >= m_settings.crashPackets
        && now - m_unansweredSince >= m_settings.crashTime;
    if (!crashed || m_crashed) {
        return;
    }
    m_crashed = true;
    std::vector<std::pair<FlowKey, std::uint32_t>> lost;
    for (const auto &[key, flow] : m_flows) {
        if (flow.stage == FlowStage::Open
            && flow.seen <= m_unansweredSince + m_settings.crashTime) {
            lost.emplace_back(key, flow.callerAcknowledgement);
        }
    }
    for (const auto &[key, acknowledgement] : lost) {
        drop(key);
        ++m_counters.resetCrashed;
        reset(key, acknowledgement, "upstream has crashed", now);
    }
}

void AgentSteering::checkIncarnation(Instant now)
{
    const KnownUpstream *self = m_directory.upstreamAt(m_settings.upstream);
    if (self == nullptr || m_upstreamStart == self->entry.startedAt) {
        return;
    }
    const bool restarted = m_upstreamStart.has_value();
    m_upstreamStart = self->entry.startedAt;
    if (restarted) {
        // The upstream starts with nothing: flows of its former life hold no slot of this one.
        note("upstream restarted", "its entry names a new life", {}, m_settings.upstream, now);
        m_outcomes.reset();
        for (auto &[key, flow] : m_flows) {
            setWaiting(flow, false);
            clearBusy(flow);
        }
    }
}

void AgentSteering::forgetOld(Instant now)
{
    for (std::size_t i = std::min(SweepBudget, m_sweep.size()); i > 0; --i) {
        const FlowKey key = m_sweep.front();
        m_sweep.pop_front();
        const auto found = m_flows.find(key);
        if (found == m_flows.end()) {
            continue;
        }
        OwnedFlow &flow = found->second;
        const bool ended = flow.stage == FlowStage::Ended;
        if (now - flow.seen > m_settings.busyTimeout) {
            clearBusy(flow);
        }
        if (now - flow.seen > (ended ? m_settings.endedLinger : m_settings.idle)) {
            drop(key);
        } else {
            m_sweep.push_back(key);
        }
    }
    std::erase_if(m_failedSearches,
                  [&](const auto &s) { return now - s.second.last > m_settings.searchMemory; });
}

} // namespace bergamotglade

// Timers of an agent: silent and crashed upstreams, callers that gave up, expiry.

#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Flows checked for expiry in one tick.
constexpr std::size_t ExpiryChecksPerTick = 256;

} // namespace

void AgentSteering::onTick(Instant now)
{
    if (now - m_lastTick > m_settings.pauseThreshold) {
        onProcessPause(now);
    } else {
        // After a pause, packets of arriving requests may still be in the socket's receive buffer.
        checkArrivingRequests(now);
    }
    m_lastTick = now;
    checkUpstreamRestart(now);
    sendRestartQueries(now);
    checkOfferTimeouts(now);
    checkCallerAckTimeouts(now);
    checkUpstreamCrash(now);
    processQueue(now);
    refuseUnservableFlows(now);
    sendDueConfirmations(now);
    expireFlows(now);
    m_search.onTick(now);
    m_unrouted.resolve(now);
    reportLocations(now);
    sendLoadReports(now, false);
}

void AgentSteering::onProcessPause(Instant now)
{
    // The upstream's answers may still be in the socket's receive buffer.
    m_unansweredPackets = 0;
    restartOfferTimers(m_offerTimers, m_flows, now);
}

void AgentSteering::checkOfferTimeouts(Instant now)
{
    while (!m_offerTimers.empty()) {
        const FlowKey key = m_offerTimers.front().flow;
        const auto found = m_flows.find(key);
        const bool pending = found != m_flows.end() && found->second.stage == FlowStage::Offered
            && found->second.offeredAt == m_offerTimers.front().at;
        if (pending && now - found->second.offeredAt < m_settings.offerTimeout) {
            break;
        }
        m_offerTimers.pop_front();
        if (!pending) {
            continue;
        }
        if (!m_upstreamSilent) {
            m_upstreamSilent = true;
            ++m_counters.upstreamSilences;
            m_nextReportAt = now;
            m_nextProbeAt = now + m_settings.probeInterval;
            logDecision("upstream is silent", "opening packet was not answered in time", key,
                        m_settings.upstream, now);
        }
        const PacketBytes opening = found->second.openingPacket;
        const Trail trail = found->second.trail;
        handOffOpening(key, opening, trail, "upstream is silent", 0, now);
    }
}

void AgentSteering::checkCallerAckTimeouts(Instant now)
{
    while (!m_callerAckTimers.empty()) {
        const auto found = m_flows.find(m_callerAckTimers.front().flow);
        const bool pending = found != m_flows.end() && found->second.handshaking
            && found->second.acceptedAt == m_callerAckTimers.front().at;
        if (pending && now - found->second.acceptedAt < callerAckTimeout()) {
            return;
        }
        m_callerAckTimers.pop_front();
        if (pending) {
            // The caller has given up or is late: its flow no longer counts against the slots.
            setHandshaking(found->second, false);
        }
    }
}

Millis AgentSteering::callerAckTimeout() const
{
    if (m_callerAckMs == 0) {
        return m_settings.callerAckTimeoutMax;
    }
    const Millis timeout(
        static_cast<std::int64_t>(m_callerAckMs * m_settings.callerAckTimeoutFactor));
    return std::clamp(timeout, m_settings.callerAckTimeoutMin, m_settings.callerAckTimeoutMax);
}

void AgentSteering::checkUpstreamCrash(Instant now)
{
    // Silence alone proves nothing: packets are lost, and a process can be suspended. The system
    // refuses connections to a port only if no process listens there.
    const bool suspected = m_upstreamSilent && m_unansweredPackets >= m_settings.crashUnansweredMin
        && now - m_unansweredSince >= m_settings.crashTimeout;
    if (!suspected || m_upstreamCrashed || now < m_nextConnectionAt) {
        return;
    }
    m_nextConnectionAt = now + m_settings.connectionInterval;
    ++m_counters.upstreamConnections;
    m_hooks.connectToUpstream(
        [this, silence = m_counters.upstreamSilences](bool refused, Instant at) {
            // The upstream may have sent a packet since the connection attempt.
            const bool isSameSilence = m_upstreamSilent && silence == m_counters.upstreamSilences;
            if (refused && isSameSilence && !m_upstreamCrashed) {
                onUpstreamCrash(at);
            }
        });
}

void AgentSteering::onUpstreamCrash(Instant now)
{
    m_upstreamCrashed = true;
    logDecision("upstream has crashed", "refused a connection, and packets are not answered", {},
                m_settings.upstream, now);
    std::vector<std::pair<FlowKey, std::uint32_t>> affected;
    for (const auto &[key, flow] : m_flows) {
        if (flow.stage == FlowStage::Open) {
            affected.emplace_back(key, flow.callerAcknowledgement);
        }
    }
    for (const auto &[key, acknowledgement] : affected) {
        eraseFlow(key);
        ++m_counters.resetsAfterCrash;
        sendReset(key, acknowledgement, "upstream has crashed", now);
    }
}

void AgentSteering::checkUpstreamRestart(Instant now)
{
    const KnownUpstream *self = m_directory.upstreamByAddress(m_settings.upstream);
    if (self == nullptr || m_upstreamStartedAt == self->entry.startedAt) {
        return;
    }
    const bool restarted = m_upstreamStartedAt.has_value();
    m_upstreamStartedAt = self->entry.startedAt;
    if (restarted) {
        // The restarted upstream has lost all flows: those of its previous incarnation occupy no
        // slots.
        logDecision("upstream restarted", "entry has another start time", {}, m_settings.upstream,
                    now);
        m_outcomes.reset();
        for (auto &[key, flow] : m_flows) {
            setHandshaking(flow, false);
            clearRequestRunning(flow);
        }
        collectRestartQueries();
    }
}

void AgentSteering::expireFlows(Instant now)
{
    const Millis idleTimeout = std::max(m_directory.flowIdleTimeout(), m_settings.idleTimeoutMin);
    for (std::size_t i = std::min(ExpiryChecksPerTick, m_expiryQueue.size()); i > 0; --i) {
        const FlowKey key = m_expiryQueue.front();
        m_expiryQueue.pop_front();
        const auto found = m_flows.find(key);
        if (found == m_flows.end()) {
            continue;
        }
        OwnedFlow &flow = found->second;
        if (now - flow.lastSeen > m_settings.requestIdleTimeout) {
            clearRequestRunning(flow);
        }
        if (now - flow.lastSeen > (flow.isClosed() ? m_settings.closedFlowTtl : idleTimeout)) {
            if (flow.stage == FlowStage::Open) {
                logDecision("forget", "flow was idle for longer than its timeout", key,
                            m_settings.upstream, now);
            }
            eraseFlow(key);
        } else {
            m_expiryQueue.push_back(key);
        }
    }
    std::erase_if(m_upstreamQueries, [&](const auto &entry) {
        return now - entry.second.firstAskedAt > m_settings.upstreamQueryTtl;
    });
}

} // namespace bergamotglade
